/** Other entry instances: their addresses and the time of the last report from each. */
import { hash32, type Clock } from '@wagtailway/core'
import type { RelayCandidate } from '../paths/selectRelay.js'
import type { PeerReport, ReportedRollout } from './peerReport.js'
import { longestReportIntervalMs } from './reportSchedule.js'

/**
 * Least time without a report after which an entry instance no longer counts as alive, in
 * milliseconds.
 */
const MIN_ALIVE_TIMEOUT_MS = 4_500

/** Reports of an instance that may be due in that time. */
const REPORTS_UNTIL_DOWN = 2

/**
 * Least time without a report after which an entry instance gets no more reports, in
 * milliseconds, until one arrives from it again; and the same as a multiple of the time after
 * which it no longer counts as alive.
 */
const MIN_FORGET_TIMEOUT_MS = 12_000
const FORGET_FACTOR = 1.5

/**
 * Smallest assumed number of entry instances, in use before the others have been
 * discovered.
 */
const MIN_ASSUMED_FLEET_SIZE = 8

/**
 * Time for which the largest number of live instances is remembered at least, in
 * milliseconds. Instances that are cut off are back by then.
 */
const RECENT_PEAK_MS = 60_000

/** Bandwidth from which links count as equal, in megabits per second. */
const MAX_LINK_MBPS = 1_000_000

/** The instance that a table belongs to. */
export interface PeerTableSelf {
  readonly name: string
  readonly zone: string
  readonly linkMbps: number
}

export interface PeerAddress {
  readonly name: string
  readonly host: string
  readonly port: number
}

/** A live instance; `address` is undefined for this instance itself. */
export interface LiveInstance {
  readonly name: string
  readonly address: PeerAddress | undefined
}

interface Peer {
  readonly address: PeerAddress
  readonly sortKey: string
  readonly zone: string | undefined
  lastReportAtMs: number
  hasReported: boolean
  sequence: number
  isDraining: boolean
  /** Whether it answers asks for permits; earlier builds don't. */
  issuesPermits: boolean
  linkMbps: number
  /** Services that it can't reach; `undefined` for earlier builds, which relay nothing. */
  cutOffServices: readonly string[] | undefined
  rollouts: readonly ReportedRollout[]
}

/**
 * Table of the other known entry instances.
 *
 * @example
 * const peers = PeerTable.create({ name: 'n1', zone: 'z1', linkMbps: 200 }, clock)
 * peers.applyReport(report, { host, port })
 * peers.rank() // 0 if no live instance comes before n1
 */
export class PeerTable {
  readonly #peers = new Map<string, Peer>()
  readonly #sortKey: string
  #peakAliveCount = 1
  /** Largest numbers of live instances in the current period and in the one before. */
  #recentPeak = 1
  #previousPeak = 1
  #peakSinceMs: number

  private constructor(
    private readonly self: PeerTableSelf,
    private readonly clock: Clock,
  ) {
    this.#sortKey = createSortKey(self.name, self.linkMbps)
    this.#peakSinceMs = clock()
  }

  static create(self: PeerTableSelf, clock: Clock): PeerTable {
    return new PeerTable(self, clock)
  }

  /** Adds an address that may belong to a live instance. */
  addAddress(address: PeerAddress): void {
    if (address.name === this.self.name || this.#peers.has(address.name)) return
    this.#peers.set(address.name, {
      address,
      sortKey: '',
      zone: undefined,
      // The address gets reports for a while; one in response shows that the instance is
      // alive.
      lastReportAtMs: this.clock() - MIN_ALIVE_TIMEOUT_MS,
      hasReported: false,
      sequence: 0,
      isDraining: false,
      issuesPermits: false,
      linkMbps: 0,
      cutOffServices: undefined,
      rollouts: [],
    })
  }

  /**
   * Applies a report; returns false if it is outdated, repeated, from this instance itself or
   * from a sender without a port, to whom nothing can be sent.
   */
  applyReport(
    report: PeerReport,
    from: { readonly host: string; readonly port: number },
  ): boolean {
    if (report.name === this.self.name || from.port === 0) return false
    const previous = this.#peers.get(report.name)
    if (previous && report.sequence <= previous.sequence) return false
    this.#peers.set(report.name, {
      address: { name: report.name, ...from },
      sortKey: createSortKey(report.name, report.linkMbps),
      zone: report.zone,
      lastReportAtMs: this.clock(),
      hasReported: true,
      sequence: report.sequence,
      isDraining: report.isDraining,
      issuesPermits: report.limits !== undefined,
      linkMbps: report.linkMbps,
      cutOffServices: report.cutOffServices,
      rollouts: report.rollouts,
    })
    this.#recordRecentPeak()
    return true
  }

  /** Number of known instances, alive or not, without this one. */
  get size(): number {
    return this.#peers.size
  }

  isAlive(name: string): boolean {
    const peer = this.#peers.get(name)
    return peer !== undefined && isAliveSince(peer, this.#aliveSinceMs)
  }

  /**
   * Addresses to send reports to: all, or only those that may be in the own zone. Removes
   * instances without a report for long first.
   */
  addresses(scope: 'all' | 'zone' = 'all'): PeerAddress[] {
    const forgetAfterMs = Math.max(
      MIN_FORGET_TIMEOUT_MS,
      this.#aliveTimeoutMs * FORGET_FACTOR,
    )
    const forgottenBeforeMs = this.clock() - forgetAfterMs
    for (const [name, { lastReportAtMs }] of this.#peers) {
      if (lastReportAtMs < forgottenBeforeMs) this.#peers.delete(name)
    }
    return [...this.#peers.values()]
      .filter(
        ({ zone }) => scope === 'all' || (zone ?? this.self.zone) === this.self.zone,
      )
      .map(({ address }) => address)
  }

  /**
   * Largest number of instances that were alive at the same time, including this one, but
   * at least MIN_ASSUMED_FLEET_SIZE. Limits on the whole fleet are divided by it and not
   * by the current number, because an instance that receives fewer reports than before
   * may only be cut off from the others.
   */
  get peakAliveCount(): number {
    this.#peakAliveCount = Math.max(
      this.#peakAliveCount,
      this.aliveCount,
      MIN_ASSUMED_FLEET_SIZE,
    )
    return this.#peakAliveCount
  }

  /** Number of instances that are alive and not draining, including this one. */
  get aliveCount(): number {
    return this.#alive().length + 1
  }

  /**
   * Share of the instances alive in the last minute or two that this one reaches now: one
   * for a majority, because the others may only be cut off and act as a minority.
   */
  get fleetShare(): number {
    this.#recordRecentPeak()
    const { aliveCount } = this
    const share = aliveCount / Math.max(this.#recentPeak, this.#previousPeak)
    return share > 0.5 ? 1 : share
  }

  /** Names of the other live instances that issue permits. */
  get permitIssuers(): string[] {
    return this.#alive().flatMap(({ address, issuesPermits }) =>
      issuesPermits ? address.name : [],
    )
  }

  /** Live instances that relay connections and have paths to a service. */
  relays(service: string): RelayCandidate[] {
    return this.#alive().flatMap(({ address, zone = '', linkMbps, cutOffServices }) =>
      cutOffServices && !cutOffServices.includes(service)
        ? { address, zone, linkMbps }
        : [],
    )
  }

  /** Names of the other live instances that relay connections and issue places. */
  get relayNames(): string[] {
    return this.#alive().flatMap(({ address, cutOffServices }) =>
      cutOffServices ? address.name : [],
    )
  }

  /** Services that an instance reported last that it can't reach. */
  cutOffServicesOf(name: string): readonly string[] {
    return this.#peers.get(name)?.cutOffServices ?? []
  }

  /** Whether an instance with this host is known. */
  hasHost(host: string): boolean {
    return [...this.#peers.values()].some(({ address }) => address.host === host)
  }

  /** Address of a known instance. */
  addressOf(name: string): PeerAddress | undefined {
    return this.#peers.get(name)?.address
  }

  /** Names of the other instances that are alive and not draining. */
  get aliveNames(): Set<string> {
    return new Set(this.#alive().map(({ address }) => address.name))
  }

  /**
   * Live instances by availability zone, in the order of all instances. This one is among
   * them, without an address, unless it is draining.
   */
  instancesByZone(isDraining: boolean): Map<string, LiveInstance[]> {
    const self = { name: this.self.name, address: undefined }
    const live: (LiveInstance & Pick<Peer, 'sortKey' | 'zone'>)[] = this.#alive().map(
      ({ address, sortKey, zone }) => ({ name: address.name, address, sortKey, zone }),
    )
    if (!isDraining) live.push({ ...self, sortKey: this.#sortKey, zone: this.self.zone })
    const byZone = new Map<string, LiveInstance[]>()
    for (const { name, address, zone = '' } of live.toSorted(bySortKey)) {
      const instances = byZone.get(zone) ?? []
      instances.push({ name, address })
      byZone.set(zone, instances)
    }
    return byZone
  }

  /** Number of live instances that come before this one in the order of all instances. */
  rank(): number {
    return this.#alive().filter(({ sortKey }) => sortKey < this.#sortKey).length
  }

  /** Number of live instances of the own zone that come before this one. */
  zoneRank(): number {
    return this.#alive().filter(
      ({ sortKey, zone }) => zone === this.self.zone && sortKey < this.#sortKey,
    ).length
  }

  /**
   * Longest time since the start of a rollout that a live instance has reported, in
   * milliseconds; zero if none has.
   */
  rolloutElapsedMs(service: string, target: string): number {
    let longestMs = 0
    for (const { rollouts, lastReportAtMs } of this.#alive()) {
      for (const age of rollouts) {
        if (age.service !== service || age.target !== target) continue
        longestMs = Math.max(longestMs, age.elapsedMs + this.clock() - lastReportAtMs)
      }
    }
    return longestMs
  }

  #recordRecentPeak(): void {
    const nowMs = this.clock()
    const { aliveCount } = this
    if (nowMs - this.#peakSinceMs >= RECENT_PEAK_MS) {
      this.#previousPeak = this.#recentPeak
      this.#recentPeak = aliveCount
      this.#peakSinceMs = nowMs
    }
    this.#recentPeak = Math.max(this.#recentPeak, aliveCount)
  }

  /** Time without a report after which an instance no longer counts as alive. */
  get #aliveTimeoutMs(): number {
    const intervalMs = longestReportIntervalMs(this.#peers.size)
    return Math.max(MIN_ALIVE_TIMEOUT_MS, REPORTS_UNTIL_DOWN * intervalMs)
  }

  get #aliveSinceMs(): number {
    return this.clock() - this.#aliveTimeoutMs
  }

  #alive(): Peer[] {
    const sinceMs = this.#aliveSinceMs
    return [...this.#peers.values()].filter((peer) => isAliveSince(peer, sinceMs))
  }
}

/** Whether an instance has reported since a time and is not draining. */
function isAliveSince(
  { hasReported, lastReportAtMs, isDraining }: Peer,
  sinceMs: number,
): boolean {
  return hasReported && lastReportAtMs > sinceMs && !isDraining
}

function bySortKey(a: Pick<Peer, 'sortKey'>, b: Pick<Peer, 'sortKey'>): number {
  if (a.sortKey === b.sortKey) return 0
  return a.sortKey < b.sortKey ? -1 : 1
}

/**
 * Sort key that gives the same order on every instance: the widest link first, because the
 * first instances pass changes on to the others. Then by a hash, so that the order doesn't
 * follow the alphabetical order of names.
 */
function createSortKey(name: string, linkMbps: number): string {
  const narrowness = MAX_LINK_MBPS - Math.min(MAX_LINK_MBPS, Math.round(linkMbps))
  const hash = hash32(name).toString(16).padStart(8, '0')
  return `${String(narrowness).padStart(7, '0')} ${hash} ${name}`
}
