/** Requests in progress on each backend server, as far as this process knows. */
import type { Clock } from '@wagtailway/core'

/** Age at which load reports of other entry instances expire, in milliseconds. */
const REPORT_TTL_MS = 4_000

/** Load of one backend server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number
  /** Expected prefill time of requests that wait for their first event, in milliseconds. */
  waitingMs: number
}

interface PeerReport {
  /** Time of receipt. */
  readonly atMs: number
  readonly loads: ReadonlyMap<string, ServerLoad>
}

const NO_LOAD: ServerLoad = { running: 0, waitingMs: 0 }

/**
 * Load from this process, together with the loads that other entry instances report.
 *
 * @example
 * const loads = LoadTable.create(clock)
 * loads.begin('s1', 60)
 * loads.total('s1').running // 1
 */
export class LoadTable {
  readonly #own = new Map<string, ServerLoad>()
  readonly #peers = new Map<string, PeerReport>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LoadTable {
    return new LoadTable(clock)
  }

  /** Records that a request was sent, with its expected prefill time. */
  begin(serverId: string, prefillMs: number): void {
    const load = this.#own.get(serverId) ?? { running: 0, waitingMs: 0 }
    load.running += 1
    load.waitingMs += prefillMs
    this.#own.set(serverId, load)
  }

  /** Records that the prefill of a request is done, or no longer expected. */
  prefillDone(serverId: string, prefillMs: number): void {
    const load = this.#own.get(serverId)
    if (load) load.waitingMs = Math.max(0, load.waitingMs - prefillMs)
  }

  end(serverId: string): void {
    const load = this.#own.get(serverId)
    if (!load) return
    load.running -= 1
    if (load.running <= 0) this.#own.delete(serverId)
  }

  /** Replaces the load that another entry instance reported before. */
  applyReport(peer: string, loads: ReadonlyMap<string, ServerLoad>): void {
    this.#peers.set(peer, { atMs: this.clock(), loads })
  }

  /** Load from this process, for its reports to peers. */
  get localLoads(): ReadonlyMap<string, ServerLoad> {
    return this.#own
  }

  /** Load of one server from all entry instances with a report that has not expired. */
  total(serverId: string): ServerLoad {
    const localLoads = this.#own.get(serverId) ?? NO_LOAD
    const total = { ...localLoads }
    const oldestMs = this.clock() - REPORT_TTL_MS
    for (const [peer, { atMs, loads }] of this.#peers) {
      if (atMs < oldestMs) {
        this.#peers.delete(peer)
        continue
      }
      const load = loads.get(serverId)
      if (!load) continue
      total.running += load.running
      total.waitingMs += load.waitingMs
    }
    return total
  }
}
