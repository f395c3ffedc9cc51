/** Load of each backend server, as far as this process knows. */
import { hash32, type Clock } from '@wagtailway/core'
import type { LoadsByHash } from '../loads/loadSums.js'
import { LOWEST_URGENCY } from '../model/urgency.js'

/** Least age at which load reports of other entry instances expire, in milliseconds. */
const MIN_REPORT_TTL_MS = 4_000

/** Interval of looking for expired reports, in milliseconds. */
const EXPIRY_CHECK_MS = 250

/** Longest prefill time of one request that counts, in milliseconds: no caller waits longer. */
const MAX_PREFILL_MS = 3_600_000

/** Load of one backend server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number
  /**
   * Expected prefill time of requests that wait for their first event, in milliseconds, by
   * urgency from 0, the most urgent; absent levels have none.
   */
  waitingMs: number[]
}

/**
 * Part of the waiting time of less urgent requests that counts: those that have begun hold
 * slots and memory.
 */
const LESS_URGENT_SHARE = 0.1

/**
 * Expected wait of a new request behind those that a server serves no later, in
 * milliseconds.
 *
 * @example
 * expectedWaitMs({ running: 2, waitingMs: [5, 100, 800] }, 1) // 185
 */
export function expectedWaitMs({ waitingMs }: ServerLoad, urgency: number): number {
  let sum = 0
  for (const [level, ms] of waitingMs.entries())
    sum += level <= urgency ? ms : ms * LESS_URGENT_SHARE
  return sum
}

/** Adds one load to another. */
export function addLoad(sum: ServerLoad, load: ServerLoad): void {
  sum.running += load.running
  for (const [level, ms] of load.waitingMs.entries())
    sum.waitingMs[level] = (sum.waitingMs[level] ?? 0) + ms
}

function subtractLoad(sum: ServerLoad, load: ServerLoad): void {
  sum.running = Math.max(0, sum.running - load.running)
  for (const [level, ms] of load.waitingMs.entries())
    sum.waitingMs[level] = Math.max(0, (sum.waitingMs[level] ?? 0) - ms)
}

/** Index of an urgency that a configuration may have made negative or fractional. */
function levelOf(urgency: number): number {
  return urgency > 0 ? Math.min(LOWEST_URGENCY, Math.floor(urgency)) : 0
}

function boundedPrefillMs(prefillMs: number): number {
  return prefillMs > 0 ? Math.min(MAX_PREFILL_MS, prefillMs) : 0
}

function copyLoad({ running, waitingMs }: ServerLoad): ServerLoad {
  return { running, waitingMs: [...waitingMs] }
}

/** Loads that another entry instance reported. */
interface ReceivedLoads {
  readonly receivedAtMs: number
  readonly loads: ReadonlyMap<string, ServerLoad>
}

/** Loads of all entry instances, this one included. */
interface FleetLoads {
  readonly receivedAtMs: number
  readonly ttlMs: number
  readonly loads: LoadsByHash
  /** The part of them that is this instance's. */
  readonly ownLoads: LoadsByHash
}

/**
 * Load from this process, together with the loads of the other entry instances: those that
 * each of them reports or, in a large fleet, the sum of all.
 *
 * @example
 * const loads = LoadTable.create(clock)
 * loads.begin('s1', 60)
 * loads.total('s1').running // 1
 */
export class LoadTable {
  readonly #localLoads = new Map<string, ServerLoad>()
  readonly #peerLoads = new Map<string, ReceivedLoads>()
  /** Sums of the unexpired reports of single instances. */
  readonly #reportedSums = new Map<string, ServerLoad>()
  readonly #hashes = new Map<string, number>()
  #fleet: FleetLoads | undefined
  /** When other entry instances last reported, also if they had no load. */
  #reportedAtMs: number | undefined
  #expiryCheckedAtMs = Number.NEGATIVE_INFINITY

  private constructor(
    private readonly clock: Clock,
    private readonly reportIntervalMs: () => number,
  ) {}

  /** @param reportIntervalMs Longest interval of the reports of one instance. */
  static create(clock: Clock, reportIntervalMs: () => number = () => 0): LoadTable {
    return new LoadTable(clock, reportIntervalMs)
  }

  /** Records that a request was sent, with its expected prefill time and its urgency. */
  begin(serverId: string, prefillMs: number, urgency: number): void {
    const load = this.#localLoads.get(serverId) ?? { running: 0, waitingMs: [] }
    const waitingMs = new Array<number>(levelOf(urgency)).fill(0)
    waitingMs.push(boundedPrefillMs(prefillMs))
    addLoad(load, { running: 1, waitingMs })
    this.#localLoads.set(serverId, load)
  }

  /** Records that the prefill of a request is done, or no longer expected. */
  prefillDone(serverId: string, prefillMs: number, urgency: number): void {
    const load = this.#localLoads.get(serverId)
    if (!load) return
    const level = levelOf(urgency)
    const waitingMs = load.waitingMs[level]
    if (waitingMs !== undefined)
      load.waitingMs[level] = Math.max(0, waitingMs - boundedPrefillMs(prefillMs))
  }

  end(serverId: string): void {
    const load = this.#localLoads.get(serverId)
    if (!load) return
    load.running -= 1
    if (load.running <= 0) this.#localLoads.delete(serverId)
  }

  /** Replaces the load that another entry instance reported before. */
  applyReport(peer: string, loads: ReadonlyMap<string, ServerLoad>): void {
    this.#reportedAtMs = this.clock()
    this.#removeReport(peer)
    if (loads.size === 0) return
    this.#peerLoads.set(peer, { receivedAtMs: this.clock(), loads })
    for (const [id, load] of loads) {
      const sum = this.#reportedSums.get(id) ?? { running: 0, waitingMs: [] }
      addLoad(sum, load)
      this.#reportedSums.set(id, sum)
    }
  }

  /**
   * Replaces the loads of all entry instances.
   *
   * @param ownLoads The part of them that is this instance's.
   * @param ttlMs Age at which they expire, in milliseconds.
   */
  applyFleet(loads: LoadsByHash, ownLoads: LoadsByHash, ttlMs: number): void {
    this.#reportedAtMs = this.clock()
    this.#fleet = { receivedAtMs: this.#reportedAtMs, ttlMs, loads, ownLoads }
  }

  /** Whether the loads of all entry instances are known and have not expired. */
  get hasFleetLoads(): boolean {
    if (this.#fleet && this.clock() - this.#fleet.receivedAtMs >= this.#fleet.ttlMs)
      this.#fleet = undefined
    return this.#fleet !== undefined
  }

  /**
   * Age of the newest loads that other entry instances reported, in milliseconds;
   * `undefined` if none is known.
   */
  get reportedAgeMs(): number | undefined {
    return this.#reportedAtMs === undefined
      ? undefined
      : this.clock() - this.#reportedAtMs
  }

  /** Load from this process, for its reports to peers. */
  get localLoads(): ReadonlyMap<string, ServerLoad> {
    return this.#localLoads
  }

  /** The same by hash of the server's id, as a copy. */
  get localLoadsByHash(): LoadsByHash {
    return new Map(
      [...this.#localLoads].map(([id, load]) => [this.#hashOf(id), copyLoad(load)]),
    )
  }

  /** Drops what is kept for a server that has left. */
  forget(serverId: string): void {
    this.#hashes.delete(serverId)
  }

  /** Load of one server from all entry instances whose loads have not expired. */
  total(serverId: string): ServerLoad {
    this.#removeExpired()
    const total: ServerLoad = { running: 0, waitingMs: [] }
    this.#addFleetLoad(total, serverId)
    for (const loads of [this.#localLoads, this.#reportedSums]) {
      const load = loads.get(serverId)
      if (load) addLoad(total, load)
    }
    return total
  }

  /** Adds the load of one server from the fleet, without this instance. */
  #addFleetLoad(total: ServerLoad, serverId: string): void {
    if (!this.hasFleetLoads || !this.#fleet) return
    const hash = this.#hashOf(serverId)
    const fleet = this.#fleet.loads.get(hash)
    if (!fleet) return
    addLoad(total, fleet)
    const own = this.#fleet.ownLoads.get(hash)
    if (own) subtractLoad(total, own)
  }

  #removeExpired(): void {
    const nowMs = this.clock()
    if (nowMs - this.#expiryCheckedAtMs < EXPIRY_CHECK_MS) return
    this.#expiryCheckedAtMs = nowMs
    const oldestMs = nowMs - Math.max(MIN_REPORT_TTL_MS, 2 * this.reportIntervalMs())
    for (const [peer, { receivedAtMs }] of this.#peerLoads)
      if (receivedAtMs < oldestMs) this.#removeReport(peer)
  }

  #removeReport(peer: string): void {
    const previous = this.#peerLoads.get(peer)
    if (!previous) return
    this.#peerLoads.delete(peer)
    for (const [id, load] of previous.loads) {
      const sum = this.#reportedSums.get(id)
      if (!sum) continue
      subtractLoad(sum, load)
      if (sum.running <= 0) this.#reportedSums.delete(id)
    }
  }

  #hashOf(serverId: string): number {
    let hash = this.#hashes.get(serverId)
    if (hash === undefined) {
      hash = hash32(serverId)
      this.#hashes.set(serverId, hash)
    }
    return hash
  }
}
