/**
 * Emulator of a fleet in virtual time: entry instances that exchange reports and messages, and
 * requests for one server that names a rate limit for a while.
 */
import {
  PeerTable,
  encodePermitMessage,
  encodeReport,
  reportIntervalMs,
  reportScope,
  type PermitMessage,
} from '@wagtailway/gateway'
import { worstWindow } from '../fleet/slidingWindow.js'
import { EMPTY_REPORT } from '../harness/emptyReport.js'
import { VirtualWorld } from '../hunt/virtualWorld.js'
import type { LimitGuard, LimitPolicy, LimitReport } from './limitPolicies.js'

/** One-way delay of a message, and how much longer it may take, in milliseconds. */
const MESSAGE_MS = 1
const MESSAGE_SPREAD_MS = 2

/** Time from a request's arrival at the server to the head of its response, in ms. */
const RESPONSE_MS = 20

/** Least interval between two reports sent out of turn, in milliseconds. */
const NEWS_INTERVAL_MS = 50

const ZONE_COUNT = 3
const LINK_MBPS = 100
const PEER_PORT = 1

/** Time after the server first named a limit from which the bound holds, in milliseconds. */
const CONTACT_MS = 3_000

/** Time for which a restart or a cut excuses an instance afterwards, in milliseconds. */
const EXCUSED_MS = 3_000

/** Last part of the period over which the use of the limit is measured, in milliseconds. */
const FINAL_MS = 10_000

/** Requests that the server may get in a window, by the promise. */
const WINDOW_MS = 4_000
const MAX_RATE_FACTOR = 1.5
const MAX_EXTRA_REQUESTS = 5

/** Requests in a row that show that a server is in use again. */
const REUSE_REQUESTS = 3

/** How requests arrive: at all instances alike, or most of them at every tenth one. */
export type ArrivalPattern = 'even' | 'uneven'

/** Share of the requests that every tenth instance gets if they arrive unevenly. */
const UNEVEN_SHARE = 0.8
const UNEVEN_EVERY = 10

export interface LimitFleetOptions {
  readonly seed: number
  readonly instances: number
  readonly policy: LimitPolicy
  /** Requests for the server per second, at all instances together. */
  readonly requestsPerS: number
  readonly arrival: ArrivalPattern
  /** Share of the messages and reports between instances that are lost. */
  readonly loss: number
  /**
   * Whether all instances know each other all the time and exchange no reports, which take
   * minutes to emulate in a fleet of hundreds.
   *
   * @default false
   */
  readonly isSettled?: boolean
  /**
   * Requests that the server may get in any window from the begin of the period on, those of
   * restarted instances and of instances that are cut off included.
   *
   * @default the promise for servers that name a limit
   */
  readonly bound?: { readonly windowMs: number; readonly requests: number }
}

/** Period in which the server names a limit. */
export interface LimitPeriod {
  readonly limit: number
  readonly fromMs: number
  readonly untilMs: number
}

export interface LimitFleetResult {
  /** Requests in the worst window while the bound holds, and those allowed. */
  readonly worst: number
  readonly allowed: number
  /** Part of the limit that was used while the bound held. */
  readonly usedShare: number
  /** The same over the last seconds of the period. */
  readonly finalUsedShare: number
  /** Time from the end of the limit until the server is in use again, in milliseconds. */
  readonly reuseMs: number
  /** Control traffic sent and received in the period: mean and most of an instance, in B/s. */
  readonly meanBytesPerS: number
  readonly maxBytesPerS: number
}

interface Instance {
  readonly index: number
  readonly name: string
  readonly zone: string
  peers: PeerTable
  guard: LimitGuard
  isCut: boolean
  /** Instances of different sides don't reach each other. */
  side: number
  excusedUntilMs: number
  sequence: number
  reportCount: number
  newsAtMs: number
  isNewsDue: boolean
  bytes: number
}

/**
 * One run of the fleet.
 *
 * @example
 * const fleet = LimitFleet.create({ seed: 1, instances: 8, policy: permits, ...rest })
 * const { worst } = await fleet.run({ limit: 1, fromMs: 3_000, untilMs: 30_000 })
 */
export class LimitFleet {
  readonly world: VirtualWorld
  readonly #instances: Instance[]
  readonly #names: readonly string[]
  readonly #arrivals: { readonly atMs: number; readonly isExcused: boolean }[] = []
  #limit: number | undefined

  private constructor(private readonly opts: LimitFleetOptions) {
    this.world = VirtualWorld.create(opts.seed)
    this.#instances = Array.from({ length: opts.instances }, (_, i) =>
      this.#createInstance(i),
    )
    this.#names = this.#instances.map(({ name }) => name)
    for (const instance of this.#instances) {
      if (opts.isSettled === true) continue
      this.#linkPeers(instance)
      this.#scheduleReport(instance)
    }
    this.#scheduleRequest()
  }

  static create(opts: LimitFleetOptions): LimitFleet {
    return new LimitFleet(opts)
  }

  /** Ends some instances; they start again after a while and know nothing. */
  restart(indexes: readonly number[], downMs: number): void {
    for (const index of indexes) {
      const instance = this.#instances[index]
      if (!instance) continue
      this.#cut(instance, downMs)
      this.world.after(downMs, () => {
        this.#reset(instance)
        this.#linkPeers(instance)
        this.#report(instance, 'all')
      })
    }
  }

  /** Cuts some instances off from all others; they still reach the server. */
  isolate(indexes: readonly number[], forMs: number): void {
    for (const index of indexes) {
      const instance = this.#instances[index]
      if (instance) this.#cut(instance, forMs)
    }
  }

  /** Separates some instances from the others; all still reach the server. */
  split(indexes: readonly number[], forMs: number): void {
    for (const index of indexes) {
      const instance = this.#instances[index]
      if (!instance) continue
      instance.side = 1
      this.world.after(forMs, () => {
        instance.side = 0
      })
    }
  }

  /** Sends some requests through one instance at once. */
  burst(index: number, count: number): void {
    const instance = this.#instances[index]
    for (let i = 0; instance && i < count; i += 1) this.#request(instance)
  }

  /** Runs until some seconds after the end of the period. */
  async run({ limit, fromMs, untilMs }: LimitPeriod): Promise<LimitFleetResult> {
    const { bound } = this.opts
    this.world.after(fromMs, () => {
      this.#limit = limit
      for (const instance of this.#instances) instance.bytes = 0
    })
    let bytes: number[] = []
    this.world.after(untilMs, () => {
      this.#limit = undefined
      bytes = this.#instances.map((instance) => instance.bytes)
    })
    // What follows shows when a server that named a limit is in use again.
    const endMs = untilMs + (bound ? 0 : 2 * WINDOW_MS)
    await this.world.run(endMs)
    const boundFromMs = bound ? fromMs : fromMs + CONTACT_MS
    const counted = this.#arrivals.filter(
      ({ atMs }) => atMs >= boundFromMs && atMs < untilMs,
    )
    const binding = bound ? counted : counted.filter(({ isExcused }) => !isExcused)
    const after = this.#arrivals.filter(({ atMs }) => atMs >= untilMs)
    const seconds = (untilMs - fromMs) / 1_000
    return {
      worst: worstWindow(
        binding.map(({ atMs }) => atMs),
        bound?.windowMs ?? WINDOW_MS,
      ),
      allowed:
        bound?.requests ??
        (MAX_RATE_FACTOR * limit * WINDOW_MS) / 1_000 + MAX_EXTRA_REQUESTS,
      usedShare: usedShare(counted.length, untilMs - boundFromMs, limit),
      finalUsedShare: usedShare(
        counted.filter(({ atMs }) => atMs >= untilMs - FINAL_MS).length,
        FINAL_MS,
        limit,
      ),
      reuseMs: this.#reuseMs(
        after.map(({ atMs }) => atMs - untilMs),
        endMs - untilMs,
      ),
      meanBytesPerS: bytes.reduce((sum, n) => sum + n, 0) / bytes.length / seconds,
      maxBytesPerS: Math.max(...bytes) / seconds,
    }
  }

  /** Time of the first request from which the server gets half of what comes for it. */
  #reuseMs(times: readonly number[], endMs: number): number {
    const longestMs = (2 * REUSE_REQUESTS * 1_000) / this.opts.requestsPerS
    const first = times.findIndex((atMs, i) => {
      const last = times[i + REUSE_REQUESTS]
      return last !== undefined && last - atMs <= longestMs
    })
    return times[first] ?? endMs
  }

  #createInstance(index: number): Instance {
    const name = `front-kality-hall-${index}`
    const zone = `z${index % ZONE_COUNT}`
    const instance: Instance = {
      index,
      name,
      zone,
      peers: undefined as unknown as PeerTable,
      guard: undefined as unknown as LimitGuard,
      isCut: false,
      side: 0,
      excusedUntilMs: 0,
      sequence: 0,
      reportCount: 0,
      newsAtMs: Number.NEGATIVE_INFINITY,
      isNewsDue: false,
      bytes: 0,
    }
    this.#reset(instance)
    return instance
  }

  #reset(instance: Instance): void {
    const { world } = this
    const { name, zone } = instance
    const clock = (): number => world.nowMs
    instance.peers = PeerTable.create({ name, zone, linkMbps: LINK_MBPS }, clock)
    instance.guard = this.opts.policy({
      name,
      clock,
      random: world.random,
      after: (ms, action) => {
        world.after(ms, action)
      },
      instances: () =>
        this.opts.isSettled === true
          ? this.#names
          : [name, ...instance.peers.permitIssuers],
      fleetShare: () => (this.opts.isSettled === true ? 1 : instance.peers.fleetShare),
      onNews: () => {
        this.#sendNews(instance)
      },
      send: (receiver, message) => {
        this.#sendMessage(instance, receiver, message)
      },
    })
  }

  #linkPeers({ peers, name }: Instance): void {
    for (const peer of this.#instances) {
      if (peer.name !== name)
        peers.addAddress({ name: peer.name, host: peer.name, port: PEER_PORT })
    }
  }

  #cut(instance: Instance, forMs: number): void {
    instance.isCut = true
    instance.excusedUntilMs = this.world.nowMs + forMs + EXCUSED_MS
    this.world.after(forMs, () => {
      instance.isCut = false
    })
  }

  #scheduleRequest(): void {
    const pauseMs = (1_000 / this.opts.requestsPerS) * (0.5 + this.world.random())
    this.world.after(pauseMs, () => {
      this.#request(this.#pickInstance())
      this.#scheduleRequest()
    })
  }

  #pickInstance(): Instance {
    const { random } = this.world
    const crowded = this.#instances.filter(({ index }) => index % UNEVEN_EVERY === 0)
    const isCrowded = this.opts.arrival === 'uneven' && random() < UNEVEN_SHARE
    const among = isCrowded ? crowded : this.#instances
    const picked = among[Math.floor(random() * among.length)]
    if (!picked) throw new Error('there are no instances')
    return picked
  }

  #request(instance: Instance): void {
    const { guard } = instance
    const use = async (): Promise<void> => {
      if (!(await guard.mayUse())) return
      this.world.after(this.#delayMs(), () => {
        const { nowMs } = this.world
        const isExcused = nowMs < instance.excusedUntilMs
        this.#arrivals.push({ atMs: nowMs, isExcused })
        this.world.after(RESPONSE_MS, () => {
          const limit = this.#limit
          this.world.after(this.#delayMs(), () => {
            guard.observe(limit)
          })
        })
      })
    }
    this.world.spawn(use())
  }

  /** Schedules all reports of an instance; the first one comes soon and goes to all. */
  #scheduleReport(instance: Instance): void {
    const peerCount = instance.reportCount === 0 ? 0 : this.#instances.length - 1
    const delayMs = reportIntervalMs(peerCount) * (0.9 + 0.2 * this.world.random())
    this.world.after(delayMs, () => {
      instance.reportCount += 1
      this.#report(instance, reportScope(peerCount, instance.reportCount))
      this.#scheduleReport(instance)
    })
  }

  #sendNews(instance: Instance): void {
    if (instance.isNewsDue) return
    instance.isNewsDue = true
    const atMs = Math.max(this.world.nowMs, instance.newsAtMs + NEWS_INTERVAL_MS)
    this.world.after(atMs - this.world.nowMs, () => {
      instance.isNewsDue = false
      instance.newsAtMs = this.world.nowMs
      this.#report(instance, 'all')
    })
  }

  #report(instance: Instance, scope: 'all' | 'zone'): void {
    const receivers = this.#instances.filter(
      (receiver) =>
        receiver !== instance && (scope === 'all' || receiver.zone === instance.zone),
    )
    this.#reportTo(instance, receivers)
  }

  #reportTo(instance: Instance, receivers: readonly Instance[]): void {
    if (instance.isCut) return
    const report = instance.guard.report()
    const bytes = addedBytes(report)
    instance.sequence += 1
    const { name, zone, sequence } = instance
    const peerReport = {
      ...EMPTY_REPORT,
      name,
      zone,
      linkMbps: LINK_MBPS,
      sequence,
      limits: [],
    }
    for (const receiver of receivers) {
      this.#deliver(instance, receiver, bytes, () => {
        const from = { host: name, port: PEER_PORT }
        const isNew = !receiver.peers.isAlive(name)
        if (!receiver.peers.applyReport(peerReport, from)) return
        receiver.guard.applyReport(name, report)
        // As in PeerLink, both know each other as soon as one found the other.
        if (isNew) this.#reportTo(receiver, [instance])
      })
    }
  }

  #sendMessage(sender: Instance, name: string, message: PermitMessage): void {
    const receiver = this.#instances.find((instance) => instance.name === name)
    if (!receiver) return
    const { length } = encodePermitMessage(message)
    this.#deliver(sender, receiver, length, () => {
      receiver.guard.applyMessage(sender.name, message)
    })
  }

  /** Delivers a datagram unless it is lost. */
  #deliver(
    sender: Instance,
    receiver: Instance,
    bytes: number,
    action: () => void,
  ): void {
    sender.bytes += bytes
    if (sender.isCut || sender.side !== receiver.side) return
    if (this.world.random() < this.opts.loss) return
    this.world.after(this.#delayMs(), () => {
      if (receiver.isCut) return
      receiver.bytes += bytes
      action()
    })
  }

  #delayMs(): number {
    return MESSAGE_MS + MESSAGE_SPREAD_MS * this.world.random()
  }
}

function usedShare(count: number, forMs: number, limit: number): number {
  return (count * 1_000) / (forMs * limit)
}

/** Size of what a report says about limits, in bytes. */
function addedBytes({ limits, sentCount }: LimitReport): number {
  const emptyBytes = encodeReport(EMPTY_REPORT).length
  const countBytes = sentCount === undefined ? 0 : String(sentCount).length + 1
  return encodeReport({ ...EMPTY_REPORT, limits }).length - emptyBytes + countBytes
}
