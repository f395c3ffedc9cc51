/**
 * Entry instances that follow one kind of object, with the gateway's own feeds, poll
 * schedule and peer tables, over links of limited bandwidth in virtual time.
 */
import { Err, Ok, type Result } from '@wagtailway/core'
import {
  FeedFollower,
  FeedPuller,
  FeedServer,
  FeedState,
  LoadExchange,
  LoadTable,
  PeerTable,
  PrefillSpeeds,
  REPORT_INTERVAL_MS,
  TransferTimeout,
  reportIntervalMs,
  reportScope,
  type LoadMessage,
  type PeerAddress,
  type PeerReport,
  type PullResponse,
  type ReportScope,
  type StoreFailure,
  type StorePosition,
  type StoreUpdate,
} from '@wagtailway/gateway'
import { EMPTY_REPORT } from '../harness/emptyReport.js'
import { VirtualWorld } from '../hunt/virtualWorld.js'
import { VirtualLink, startTransfer } from './virtualLink.js'
import {
  VirtualStore,
  type VirtualObject,
  type VirtualStoreCopy,
  type VirtualUpdate,
} from './virtualStore.js'

/** Time without data after which a call has failed, in milliseconds, as in the gateway. */
const CALL_TIMEOUT_MS = 600

/** Time that a message is under way within a zone and between zones, in milliseconds. */
const ZONE_DELAY_MS = 0.2
const OTHER_ZONE_DELAY_MS = 1.4

const PEER_PORT = 7_340

const OBJECT_NAME = 'main'

/** Machines of one kind in each zone. */
export interface MachineGroup {
  readonly count: number
  readonly linkMbps: number
}

export interface FeedFleetOptions {
  readonly seed: number
  readonly zones: number
  readonly machinesPerZone: readonly MachineGroup[]
  readonly storeLinkMbps: number
  readonly maxPropagationMs: number
}

/** Time from the acknowledgement of a version until an instance has it or a newer one. */
export interface Propagation {
  readonly node: string
  readonly linkMbps: number
  readonly version: number
  readonly delayMs: number
}

interface FleetNode {
  readonly name: string
  readonly zone: string
  readonly link: VirtualLink
  readonly feed: FeedState<VirtualObject>
  readonly server: FeedServer
  readonly puller: FeedPuller
  readonly peers: PeerTable
  readonly loadExchange: LoadExchange
  reportNumber: number
  /** When each version was applied, in milliseconds of virtual time. */
  readonly appliedAtMs: Map<number, number>
}

/**
 * A fleet whose instances know each other from the start.
 *
 * @example
 * const fleet = FeedFleet.create(options)
 * fleet.putConfig(1, contents)
 * await fleet.run(3_000)
 * fleet.propagations(1)
 */
export class FeedFleet {
  readonly world: VirtualWorld
  readonly store: VirtualStore
  readonly storeLink: VirtualLink
  /** Times of all calls to the store so far, in milliseconds of virtual time. */
  readonly storeCallTimesMs: number[] = []
  /**
   * Called for each call of an instance to the store; the call gets no response if it
   * returns true.
   */
  losesStoreCall: (node: string, callNumber: number) => boolean = () => false
  readonly #nodes: FleetNode[] = []
  readonly #acceptedAtMs = new Map<number, number>()
  readonly #callsByNode = new Map<string, number>()
  #restoredAtMs = 0
  /** Time from the last restore until each instance noticed it, in milliseconds. */
  readonly #noticeDelaysMs = new Map<string, number>()

  private constructor(private readonly opts: FeedFleetOptions) {
    this.world = VirtualWorld.create(opts.seed)
    this.store = VirtualStore.create(this.world)
    this.storeLink = VirtualLink.create(opts.storeLinkMbps)
    for (let zoneIndex = 0; zoneIndex < opts.zones; zoneIndex += 1) {
      for (const { count, linkMbps } of opts.machinesPerZone) {
        for (let i = 0; i < count; i += 1) {
          this.#nodes.push(this.#createNode(`z${zoneIndex}`, linkMbps))
        }
      }
    }
    for (const node of this.#nodes) {
      this.#sendReport(node, 'all')
      this.#scheduleReports(node)
      this.#scheduleLoadReports(node)
    }
  }

  static create(opts: FeedFleetOptions): FeedFleet {
    return new FeedFleet(opts)
  }

  /** Stores a version of the configuration; acknowledged at the current time. */
  putConfig(version: number, contents: unknown): void {
    this.#acceptedAtMs.set(version, this.world.nowMs)
    this.store.put(OBJECT_NAME, { version, contents })
  }

  /** Number of calls to the store so far. */
  get storeCalls(): number {
    return this.storeCallTimesMs.length
  }

  restoreStore(copy: VirtualStoreCopy): void {
    this.#restoredAtMs = this.world.nowMs
    this.#noticeDelaysMs.clear()
    this.store.restore(copy)
  }

  /**
   * Times from the last restore until each instance followed the restored store, in
   * milliseconds; infinite if one doesn't yet.
   */
  get noticeDelaysMs(): number[] {
    return this.#nodes.map(
      ({ name }) => this.#noticeDelaysMs.get(name) ?? Number.POSITIVE_INFINITY,
    )
  }

  run(forMs: number): Promise<void> {
    return this.world.run(this.world.nowMs + forMs)
  }

  /** Times until each instance had a version; infinite if one doesn't have it yet. */
  propagations(version: number): Propagation[] {
    const acceptedAtMs = this.#acceptedAtMs.get(version) ?? 0
    return this.#nodes.map(({ name, link, appliedAtMs }) => {
      const newer = [...appliedAtMs].filter(([applied]) => applied >= version)
      const atMs = Math.min(Number.POSITIVE_INFINITY, ...newer.map(([, ms]) => ms))
      return { node: name, linkMbps: link.mbps, version, delayMs: atMs - acceptedAtMs }
    })
  }

  /** Names of the instances that come first in their zone. */
  get watchers(): string[] {
    return this.#nodes
      .filter(({ peers }) => peers.zoneRank() === 0)
      .map(({ name }) => name)
  }

  #createNode(zone: string, linkMbps: number): FleetNode {
    const { world, opts } = this
    const clock = (): number => world.nowMs
    const sleep = (ms: number): Promise<void> =>
      new Promise((resolve) => {
        world.after(ms, resolve)
      })
    const name = `n${this.#nodes.length}`
    const link = VirtualLink.create(linkMbps)
    const appliedAtMs = new Map<number, number>()
    const recordVersions = (events: readonly { object: VirtualObject | undefined }[]) => {
      for (const { object } of events) {
        if (object && !appliedAtMs.has(object.version)) {
          appliedAtMs.set(object.version, world.nowMs)
        }
      }
    }
    const feed = FeedState.create<VirtualObject>({
      kind: 'config',
      clock,
      isSame: (a, b) => a.version === b.version,
      onList: recordVersions,
      onChanges: recordVersions,
      onRestored: ({ events }) => {
        this.#noticeDelaysMs.set(name, world.nowMs - this.#restoredAtMs)
        recordVersions(events)
      },
      onStoreRecovered: () => undefined,
      onApplied: () => undefined,
    })
    // Objects are forwarded unchanged, so their type does not matter here.
    const feeds = [feed as unknown as FeedState<unknown>]
    const puller = FeedPuller.create({
      zone,
      clock,
      random: world.random,
      sleep,
      feeds,
      pull: (host, _kind, after) => this.#pull(node, host, after),
      onPulled: () => undefined,
      onFailed: () => undefined,
    })
    const peers = PeerTable.create({ name, zone, linkMbps }, clock)
    const node: FleetNode = {
      name,
      zone,
      link,
      feed,
      server: FeedServer.create({ clock, linkMbps, feeds }),
      puller,
      peers,
      loadExchange: LoadExchange.create({
        name,
        zone,
        clock,
        load: LoadTable.create(clock),
        prefillSpeeds: PrefillSpeeds.create(clock),
        marks: () => (feed.hasList ? [feed.mark] : []),
        instancesByZone: () => peers.instancesByZone(false),
        send: (message, addresses) => {
          this.#sendLoadMessage(node, message, addresses)
        },
        onChange: () => undefined,
      }),
      reportNumber: 0,
      appliedAtMs,
    }
    FeedFollower.create<VirtualObject>({
      kind: 'config',
      feed,
      store: {
        list: () =>
          this.#callStore(node, 0, () => Promise.resolve(Ok(this.store.list()))),
        watch: (_kind, after, waitMs) =>
          this.#callStore(node, waitMs, () => this.store.watch(after, waitMs)),
      },
      log: () => undefined,
      clock,
      random: world.random,
      sleep,
      fleet: () => ({
        isDiscovering: false,
        instanceCount: peers.aliveCount,
        zoneRank: peers.zoneRank(),
        maxPropagationMs: opts.maxPropagationMs,
        pullingForMs: puller.pullingForMs('config'),
      }),
      onStoreChanges: () => {
        this.#sendReport(node, 'all')
      },
      onPoll: () => undefined,
    })
    return node
  }

  async #callStore(
    node: FleetNode,
    waitMs: number,
    respond: () => Promise<Result<VirtualUpdate, StoreFailure>>,
  ): Promise<Result<StoreUpdate<VirtualObject>, StoreFailure>> {
    this.storeCallTimesMs.push(this.world.nowMs)
    const callNumber = (this.#callsByNode.get(node.name) ?? 0) + 1
    this.#callsByNode.set(node.name, callNumber)
    try {
      const { response, transferMs } = await this.#exchange({
        from: this.storeLink,
        to: node.link,
        delayMs: ZONE_DELAY_MS,
        waitMs,
        isLost: this.losesStoreCall(node.name, callNumber),
        respond,
        bytes: (result) => (result.ok ? jsonBytes(result.val.events) : 0),
      })
      return response.map((update) => ({ ...update, transferMs }))
    } catch (err) {
      return Err({ type: 'unavailable', detail: String(err) })
    }
  }

  #pull(node: FleetNode, host: string, after: StorePosition): Promise<PullResponse> {
    const source = this.#nodes.find(({ name }) => name === host)
    if (!source) return Promise.reject(new Error(`no instance ${host}`))
    return this.#exchange({
      from: source.link,
      to: node.link,
      delayMs: source.zone === node.zone ? ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS,
      waitMs: 0,
      isLost: false,
      respond: () =>
        Promise.resolve().then(() => respondToPull(source, node.name, after)),
      bytes: ({ bytes }) => bytes,
    }).then(({ response }) => response.pull)
  }

  /** Sends a request and transfers the response; rejects if no data arrives for a while. */
  #exchange<T>(opts: {
    readonly from: VirtualLink
    readonly to: VirtualLink
    readonly delayMs: number
    readonly waitMs: number
    readonly isLost: boolean
    readonly respond: () => Promise<T>
    readonly bytes: (response: T) => number
  }): Promise<{ readonly response: T; readonly transferMs: number }> {
    const { world } = this
    return new Promise((resolve, reject) => {
      let isOpen = true
      const timeout = TransferTimeout.create({
        startTimer: (ms, fn) => world.after(ms, fn),
        silenceMs: CALL_TIMEOUT_MS,
        waitMs: opts.waitMs,
        onTimeout: (detail) => {
          isOpen = false
          reject(new Error(detail))
        },
      })
      const deliver = (response: T): void => {
        const startedAtMs = world.nowMs
        startTransfer({
          world,
          from: opts.from,
          to: opts.to,
          bytes: opts.bytes(response),
          delayMs: opts.delayMs,
          onChunk: () => {
            if (isOpen) timeout.recordProgress()
            return isOpen
          },
          onComplete: () => {
            if (!isOpen) return
            timeout.cancel()
            resolve({ response, transferMs: world.nowMs - startedAtMs })
          },
        })
      }
      if (opts.isLost) return
      world.after(opts.delayMs, () => {
        opts.respond().then(deliver, reject)
      })
    })
  }

  #scheduleReports(node: FleetNode): void {
    const receiverCount = this.#nodes.length - 1
    this.world.after(reportIntervalMs(receiverCount), () => {
      node.reportNumber += 1
      this.#sendReport(node, reportScope(receiverCount, node.reportNumber))
      this.#scheduleReports(node)
    })
  }

  #scheduleLoadReports(node: FleetNode): void {
    this.world.after(REPORT_INTERVAL_MS, () => {
      node.loadExchange.advance()
      this.#scheduleLoadReports(node)
    })
  }

  #sendLoadMessage(
    node: FleetNode,
    message: LoadMessage,
    addresses: readonly PeerAddress[],
  ): void {
    this.world.after(OTHER_ZONE_DELAY_MS, () => {
      for (const address of addresses) {
        const receiver = this.#nodes.find(({ name }) => name === address.name)
        if (!receiver) continue
        receiver.puller.applyMarks(message.marks, { host: node.name, zone: node.zone })
        const from = { name: node.name, host: node.name, port: PEER_PORT }
        receiver.loadExchange.receive(message, from)
      }
    })
  }

  #sendReport(node: FleetNode, scope: ReportScope): void {
    const report = createReport(node, this.world.nowMs)
    const marks = node.feed.hasList ? [node.feed.mark] : []
    this.world.after(OTHER_ZONE_DELAY_MS, () => {
      for (const receiver of this.#nodes) {
        if (receiver === node || (scope === 'zone' && receiver.zone !== node.zone)) {
          continue
        }
        const from = { host: node.name, port: PEER_PORT }
        if (!receiver.peers.applyReport(report, from)) continue
        receiver.puller.applyMarks(marks, { host: node.name, zone: node.zone })
      }
    })
  }
}

/** Response to a pull, with its encoded size. */
function respondToPull(
  { feed, server }: FleetNode,
  host: string,
  after: StorePosition,
): { readonly pull: PullResponse; readonly bytes: number } {
  const response = server.respond({
    kind: feed.kind,
    after: after.revision,
    era: after.era,
    host,
    acceptsGzip: true,
  })
  switch (response.type) {
    case 'unknown':
      throw new Error('status 404')
    case 'busy':
      return { pull: response, bytes: jsonBytes(response.holders) }
    case 'update': {
      const update = feed.updateSince(after)
      return { pull: { type: 'update', update }, bytes: response.body.length }
    }
  }
}

function createReport(node: FleetNode, nowMs: number): PeerReport {
  return {
    ...EMPTY_REPORT,
    name: node.name,
    zone: node.zone,
    linkMbps: node.link.mbps,
    sequence: nowMs + 1,
  }
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}
