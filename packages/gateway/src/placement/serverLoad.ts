/** Work that is in progress at each backend server, as this process knows it. */
import type { Clock } from '@wagtailway/core'

/** Load reports of other entry instances count only while they are this fresh. */
const REPORT_LIFE_MS = 4_000

/** Work at one backend server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number
  /** Time that reading the prompts takes whose first events are still owed, in milliseconds. */
  waitingMs: number
}

interface PeerReport {
  readonly atMs: number
  readonly loads: ReadonlyMap<string, ServerLoad>
}

const NO_LOAD: ServerLoad = { running: 0, waitingMs: 0 }

/**
 * Own work and what other entry instances report of theirs.
 *
 * @example
 * const board = LoadBoard.create(clock)
 * board.begin('s1', 60)
 * board.total('s1').running // 1
 */
export class LoadTable {
  readonly #own = new Map<string, ServerLoad>()
  readonly #peers = new Map<string, PeerReport>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LoadTable {
    return new LoadTable(clock)
  }

  /** Notes a request that is sent. */
  begin(serverId: string, readingMs: number): void {
    const load = this.#own.get(serverId) ?? { running: 0, waitingMs: 0 }
    load.running += 1
    load.waitingMs += readingMs
    this.#own.set(serverId, load)
  }

  /** Notes that the prompt has been read. */
  prefillDone(serverId: string, readingMs: number): void {
    const load = this.#own.get(serverId)
    if (load) load.waitingMs = Math.max(0, load.waitingMs - readingMs)
  }

  end(serverId: string): void {
    const load = this.#own.get(serverId)
    if (!load) return
    load.running -= 1
    if (load.running <= 0) this.#own.delete(serverId)
  }

  /** Takes in another entry instance's own work. */
  applyReport(peer: string, loads: ReadonlyMap<string, ServerLoad>): void {
    this.#peers.set(peer, { atMs: this.clock(), loads })
  }

  /** Own work, for the report to others. */
  get own(): ReadonlyMap<string, ServerLoad> {
    return this.#own
  }

  /** Work of all entry instances that are heard of. */
  total(serverId: string): ServerLoad {
    const own = this.#own.get(serverId) ?? NO_LOAD
    const total = { ...own }
    const oldestMs = this.clock() - REPORT_LIFE_MS
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
