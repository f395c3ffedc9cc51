/**
 * Passive health checks of backend servers, from the results of callers' requests.
 *
 * Handles servers that report themselves as ready while they fail part of their requests,
 * stop responding or respond too slowly. Never avoids more than half of the servers, so
 * that a fault of the network or of this node doesn't empty the list.
 */
import type { Clock } from '@wagtailway/core'

/** Time constant of the exponential decay of result counts, in milliseconds. */
const DECAY_MS = 4_000

/** Share of failed requests from which a server is avoided. */
const AVOIDED_FAILURE_SHARE = 0.2

/** Minimum decayed failure count to avoid a server; a single request may itself be at fault. */
const MIN_FAILURES = 1.2

/** How long an unreachable server is avoided, in milliseconds. */
const UNREACHABLE_MS = 2_000

/** Maximum number of unreachable servers in one report to other entry instances. */
const MAX_REPORTED = 20

interface HealthRecord {
  good: number
  bad: number
  /** Time at which the counts were last decayed. */
  atMs: number
  /** Time of the last successful response. */
  lastGoodAtMs: number
  unreachableUntilMs: number
  /** The same, from the connections of this process alone. */
  ownUnreachableUntilMs: number
}

/**
 * Exponentially decaying counts of successes and failures by server.
 *
 * @example
 * const health = ServerHealth.create(clock)
 * health.note('s1', false)
 * health.usable(servers)
 */
export class ServerHealth {
  readonly #records = new Map<string, HealthRecord>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ServerHealth {
    return new ServerHealth(clock)
  }

  note(serverId: string, ok: boolean): void {
    const record = this.#decayed(serverId)
    if (ok) {
      record.good += 1
      record.lastGoodAtMs = this.clock()
      record.unreachableUntilMs = 0
      record.ownUnreachableUntilMs = 0
    } else record.bad += 1
  }

  /** Records that a connection to the server failed, or that it stopped responding. */
  noteUnreachable(serverId: string): void {
    const record = this.#decayed(serverId)
    record.bad += 1
    record.unreachableUntilMs = this.clock() + UNREACHABLE_MS
    record.ownUnreachableUntilMs = record.unreachableUntilMs
  }

  /** Whether this or another entry instance found the server unreachable recently. */
  isUnreachable(serverId: string): boolean {
    return (this.#records.get(serverId)?.unreachableUntilMs ?? 0) > this.clock()
  }

  /** Servers that this process found unreachable recently, for its reports to peers. */
  get locallyUnreachable(): string[] {
    const now = this.clock()
    return [...this.#records]
      .filter(([, { ownUnreachableUntilMs }]) => ownUnreachableUntilMs > now)
      .slice(0, MAX_REPORTED)
      .map(([id]) => id)
  }

  /**
   * Records that another entry instance could not reach a server. Ignored if this process
   * got a successful response from it within the last `UNREACHABLE_MS`.
   */
  recordPeerUnreachable(serverId: string): void {
    const record = this.#decayed(serverId)
    const now = this.clock()
    if (now - record.lastGoodAtMs < UNREACHABLE_MS) return
    record.unreachableUntilMs = Math.max(record.unreachableUntilMs, now + UNREACHABLE_MS)
  }

  forget(serverId: string): void {
    this.#records.delete(serverId)
  }

  isAvoided(serverId: string): boolean {
    if (!this.#records.has(serverId)) return false
    const { good, bad, unreachableUntilMs } = this.#decayed(serverId)
    if (unreachableUntilMs > this.clock()) return true
    return bad >= MIN_FAILURES && bad / (good + bad) >= AVOIDED_FAILURE_SHARE
  }

  /** The servers that are not avoided, or all if more than half would be. */
  usable<T extends { readonly id: string }>(servers: readonly T[]): readonly T[] {
    const healthy = servers.filter(({ id }) => !this.isAvoided(id))
    return healthy.length * 2 >= servers.length && healthy.length > 0 ? healthy : servers
  }

  #decayed(serverId: string): HealthRecord {
    const now = this.clock()
    const existing = this.#records.get(serverId)
    if (!existing) {
      const record = {
        good: 0,
        bad: 0,
        atMs: now,
        lastGoodAtMs: Number.NEGATIVE_INFINITY,
        unreachableUntilMs: 0,
        ownUnreachableUntilMs: 0,
      }
      this.#records.set(serverId, record)
      return record
    }
    const factor = Math.exp(-(now - existing.atMs) / DECAY_MS)
    existing.good *= factor
    existing.bad *= factor
    existing.atMs = now
    return existing
  }
}
