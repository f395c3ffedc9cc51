/** Load of each backend server, as far as this process knows. */
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

/** Loads that another entry instance reported. */
interface ReceivedLoads {
  readonly receivedAtMs: number
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
  readonly #localLoads = new Map<string, ServerLoad>()
  readonly #peerLoads = new Map<string, ReceivedLoads>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LoadTable {
    return new LoadTable(clock)
  }

  /** Records that a request was sent, with its expected prefill time. */
  begin(serverId: string, prefillMs: number): void {
    const load = this.#localLoads.get(serverId) ?? { running: 0, waitingMs: 0 }
    load.running += 1
    load.waitingMs += prefillMs
    this.#localLoads.set(serverId, load)
  }

  /** Records that the prefill of a request is done, or no longer expected. */
  prefillDone(serverId: string, prefillMs: number): void {
    const load = this.#localLoads.get(serverId)
    if (load) load.waitingMs = Math.max(0, load.waitingMs - prefillMs)
  }

  end(serverId: string): void {
    const load = this.#localLoads.get(serverId)
    if (!load) return
    load.running -= 1
    if (load.running <= 0) this.#localLoads.delete(serverId)
  }

  /** Replaces the load that another entry instance reported before. */
  applyReport(peer: string, loads: ReadonlyMap<string, ServerLoad>): void {
    this.#peerLoads.set(peer, { receivedAtMs: this.clock(), loads })
  }

  /** Load from this process, for its reports to peers. */
  get localLoads(): ReadonlyMap<string, ServerLoad> {
    return this.#localLoads
  }

  /** Load of one server from all entry instances with a report that has not expired. */
  total(serverId: string): ServerLoad {
    const localLoad = this.#localLoads.get(serverId) ?? NO_LOAD
    const total = { ...localLoad }
    const oldestMs = this.clock() - REPORT_TTL_MS
    for (const [peer, { receivedAtMs, loads }] of this.#peerLoads) {
      if (receivedAtMs < oldestMs) {
        this.#peerLoads.delete(peer)
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
