/** Ways in which the nodes of a simulation tell each other the loads of engines. */
import type { Random } from '@wagtailway/core'
import {
  CachedPrefixes,
  LoadExchange,
  LoadTable,
  PrefillSpeeds,
  REPORT_INTERVAL_MS,
  encodeLoadMessage,
  reportIntervalMs,
  reportScope,
  type LiveInstance,
} from '@wagtailway/gateway'
import type { VirtualTime } from '../loadModel/virtualTime.js'

/** Usual delay of a datagram, in milliseconds. */
export const DATAGRAM_LAG_MS = 1

/** Only every fourth report includes prefill speeds. */
const SPEEDS_EVERY = 4

/** Port of the addresses of nodes, which nothing listens to. */
const PORT = 7_340

/** One entry instance. */
export interface PromptNode {
  readonly name: string
  readonly zone: string
  readonly load: LoadTable
  readonly speeds: PrefillSpeeds
  readonly cachedPrefixes: CachedPrefixes
}

/** What sharing loads costs, and the faults under which it works. */
export interface SharingOptions {
  readonly time: VirtualTime
  readonly nodes: readonly PromptNode[]
  readonly random: Random
  /** Share of the datagrams that are lost. */
  readonly lossShare: number
  /** Delay of a datagram, in milliseconds. */
  readonly lagMs: number
  /** Whether a node has ended. */
  readonly isDown: (node: PromptNode, atMs: number) => boolean
  /** Called for each datagram that is sent. */
  readonly onDatagram: (from: PromptNode, to: PromptNode, bytes: number) => void
}

/** Starts to share the loads of all nodes. */
export type LoadSharing = (opts: SharingOptions) => void

/**
 * Creates the nodes of a simulation, spread evenly over the zones.
 *
 * @example
 * createNodes(time, 195, 5)[0]?.zone // 'z0'
 */
export function createNodes(
  time: VirtualTime,
  count: number,
  zones: number,
): PromptNode[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `n${i}`,
    zone: `z${i % zones}`,
    load: LoadTable.create(time.now),
    speeds: PrefillSpeeds.create(time.now),
    cachedPrefixes: CachedPrefixes.create(time.now),
  }))
}

/** No node knows of the others' loads. */
export const ownLoadsOnly: LoadSharing = () => undefined

/** Each node reports its loads to each other one, those of other zones more rarely. */
export const reportToEach: LoadSharing = (opts) => {
  const { time, nodes } = opts
  const intervalMs = reportIntervalMs(nodes.length)
  for (const [i, node] of nodes.entries()) {
    let rounds = 0
    time.after((intervalMs * i) / nodes.length, () => {
      time.every(intervalMs, () => {
        rounds += 1
        const loads = new Map(
          [...node.load.localLoads].map(([id, { running, waitingMs }]) => [
            id,
            { running, waitingMs: [...waitingMs] },
          ]),
        )
        const hasSpeeds = rounds % SPEEDS_EVERY === 0
        const scope = reportScope(nodes.length, rounds)
        for (const other of nodes) {
          if (other === node || (scope === 'zone' && other.zone !== node.zone)) continue
          deliver(opts, node, other, JSON.stringify([...loads]).length, () => {
            other.load.applyReport(node.name, loads)
            if (hasSpeeds) other.speeds.applyReport(node.name, node.speeds.localSpeeds)
          })
        }
      })
    })
  }
}

/** Aggregators of each zone add up the loads. */
export const aggregateByZone: LoadSharing = (opts) => {
  const { time, nodes, random, isDown } = opts
  const byName = new Map(nodes.map((node) => [node.name, node]))
  const addressOf = ({ name }: PromptNode) => ({ name, host: name, port: PORT })
  const exchanges = new Map<string, LoadExchange>()
  for (const node of nodes) {
    const zones = new Map<string, LiveInstance[]>()
    for (const other of nodes) {
      const instances = zones.get(other.zone) ?? []
      zones.set(other.zone, instances)
      const address = other === node ? undefined : addressOf(other)
      instances.push({ name: other.name, address })
    }
    const exchange = LoadExchange.create({
      name: node.name,
      zone: node.zone,
      clock: time.now,
      load: node.load,
      prefillSpeeds: node.speeds,
      marks: () => [],
      instancesByZone: () => zones,
      send: (message, addresses) => {
        const { length } = encodeLoadMessage(message)
        for (const { name } of addresses) {
          const other = byName.get(name)
          if (!other) continue
          deliver(opts, node, other, length, () => {
            exchanges.get(name)?.receive(message, addressOf(node))
          })
        }
      },
      onChange: () => undefined,
    })
    exchanges.set(node.name, exchange)
    time.after(REPORT_INTERVAL_MS * random(), () => {
      time.every(REPORT_INTERVAL_MS, () => {
        if (!isDown(node, time.now())) exchange.advance()
      })
    })
  }
}

function deliver(
  { time, random, lossShare, lagMs, isDown, onDatagram }: SharingOptions,
  from: PromptNode,
  to: PromptNode,
  bytes: number,
  apply: () => void,
): void {
  if (isDown(from, time.now())) return
  onDatagram(from, to, bytes)
  if (random() < lossShare) return
  time.after(lagMs, () => {
    if (!isDown(to, time.now())) apply()
  })
}
