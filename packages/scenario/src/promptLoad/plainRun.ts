/**
 * Simulates plain requests on servers with a few slots and a queue in virtual time. The
 * gateway's own code selects the servers; a node knows the load from other nodes only as
 * they share it.
 */
import { seededRandom, type Random } from '@wagtailway/core'
import { selectPlacement, type BackendServer } from '@wagtailway/gateway'
import { VirtualTime } from '../loadModel/virtualTime.js'
import {
  DATAGRAM_LAG_MS,
  createNodes,
  type LoadSharing,
  type PromptNode,
} from './loadSharing.js'

export interface PlainRunOptions {
  readonly nodes: number
  readonly zones: number
  readonly servers: number
  /** Requests that a server processes at the same time. */
  readonly slots: number
  /** Mean time that a request takes, in milliseconds. */
  readonly workMs: number
  /** Share of the slots that are in use on average. */
  readonly utilization: number
  readonly durationMs: number
  readonly shareLoads: LoadSharing
  /** Factor of the work that begins on a server at a time, such as 4 while it is slow. */
  readonly slowdownAt: (server: number, atMs: number) => number
  readonly seed: number
}

export interface PlainRunResult {
  readonly requests: number
  /** Share of the requests that took longer than `LATE_FACTOR` times the work. */
  readonly lateShare: number
  readonly meanMs: number
}

/** Multiple of the work from which a request counts as late; the users' targets are 4.5. */
const LATE_FACTOR = 4.5

interface Queue {
  readonly waiting: (() => void)[]
  running: number
}

/**
 * Runs one simulation.
 *
 * @example
 * runPlainLoad({ nodes: 195, zones: 5, servers: 5, slots: 6, ..., seed: 1 }).lateShare
 */
export function runPlainLoad(opts: PlainRunOptions): PlainRunResult {
  const time = VirtualTime.create()
  const random = seededRandom(opts.seed)
  const nodes = createNodes(time, opts.nodes, opts.zones)
  const queues = Array.from({ length: opts.servers }, (): Queue => ({
    waiting: [],
    running: 0,
  }))
  const servers = queues.map((_, i) =>
    serverOf(`s${i}`, `z${i % opts.zones}`, opts.slots),
  )
  opts.shareLoads({
    time,
    nodes,
    random: seededRandom(opts.seed + 1),
    lossShare: 0,
    lagMs: DATAGRAM_LAG_MS,
    isDown: () => false,
    onDatagram: () => undefined,
  })
  const tookMs: number[] = []
  const perMs = (opts.utilization * opts.servers * opts.slots) / opts.workMs
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - random()) / perMs
    if (atMs >= opts.durationMs) break
    const node = nodes[Math.floor(random() * nodes.length)]
    if (!node) continue
    time.after(atMs, () => {
      const server = selectServer(servers, node, random)
      const index = servers.findIndex(({ id }) => id === server?.id)
      const queue = queues[index]
      if (!server || !queue) return
      const sentAtMs = time.now()
      node.load.begin(server.id, 0, 0)
      const start = (): void => {
        queue.running += 1
        const factor = opts.slowdownAt(index, time.now())
        time.after(factor * opts.workMs * (0.5 + random()), () => {
          queue.running -= 1
          node.load.end(server.id)
          tookMs.push(time.now() - sentAtMs)
          queue.waiting.shift()?.()
        })
      }
      if (queue.running < opts.slots) start()
      else queue.waiting.push(start)
    })
  }
  time.runUntil(opts.durationMs * 2)
  return {
    requests: tookMs.length,
    lateShare:
      tookMs.filter((ms) => ms > LATE_FACTOR * opts.workMs).length / tookMs.length,
    meanMs: tookMs.reduce((sum, ms) => sum + ms, 0) / tookMs.length,
  }
}

function serverOf(id: string, zone: string, slots: number): BackendServer {
  return {
    id,
    startedAtMs: 0,
    service: 'plain',
    host: '',
    port: 0,
    zone,
    version: 'v1',
    slots,
    isDraining: false,
  }
}

function selectServer(
  servers: readonly BackendServer[],
  node: PromptNode,
  random: Random,
): BackendServer | undefined {
  return selectPlacement(
    servers,
    {
      affinityKey: undefined,
      hasCachedPrefix: () => false,
      sharedTokens: 0,
      uniqueTokens: 0,
      prefillMsPerToken: () => 0,
      urgencyOf: () => 0,
      hasOldLoads: node.load.hasFleetLoads,
      zone: node.zone,
    },
    (id) => node.load.total(id),
    random,
  )?.server
}
