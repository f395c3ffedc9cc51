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
  decayedAtMs: number
  /** Time of the last successful response. */
  lastGoodAtMs: number
  /** Until when the server is avoided because any entry instance found it unreachable. */
  unreachableUntilMs: number
  /** The same, if this process told so to the others. */
  reportedUntilMs: number
}

/** Called when a server starts to be avoided; `source` is an entry instance, or `own`. */
export type OnUnreachable = (serverId: string, source: string) => void

/**
 * Exponentially decaying counts of successes and failures by server.
 *
 * @example
 * const health = ServerHealth.create(clock)
 * health.recordResult('s1', false)
 * health.usable(servers)
 */
export class ServerHealth {
  readonly #records = new Map<string, HealthRecord>()

  private constructor(
    private readonly clock: Clock,
    private readonly onUnreachable: OnUnreachable,
  ) {}

  static create(
    clock: Clock,
    onUnreachable: OnUnreachable = () => undefined,
  ): ServerHealth {
    return new ServerHealth(clock, onUnreachable)
  }

  recordResult(serverId: string, ok: boolean): void {
    const record = this.#decayed(serverId)
    if (ok) {
      record.good += 1
      record.lastGoodAtMs = this.clock()
      record.unreachableUntilMs = 0
      record.reportedUntilMs = 0
    } else record.bad += 1
  }

  /** Records that a connection to the server failed, or that it stopped responding. */
  recordUnreachable(serverId: string): void {
    this.#decayed(serverId).bad += 1
    this.#avoid(serverId, 'own')
  }

  /**
   * Records that the server itself is the cause, not the path to it: the other instances
   * are told.
   */
  confirmUnreachable(serverId: string): void {
    this.#avoid(serverId, 'own')
    this.#decayed(serverId).reportedUntilMs = this.clock() + UNREACHABLE_MS
  }

  /** Records that another instance reaches the server: only the own path to it is lost. */
  recordReachable(serverId: string): void {
    const record = this.#decayed(serverId)
    record.unreachableUntilMs = 0
    record.reportedUntilMs = 0
  }

  /** Whether this or another entry instance found the server unreachable recently. */
  isUnreachable(serverId: string): boolean {
    return (this.#records.get(serverId)?.unreachableUntilMs ?? 0) > this.clock()
  }

  /** Servers that were unreachable recently by their own fault, for reports to peers. */
  get reportedUnreachable(): string[] {
    const now = this.clock()
    return [...this.#records]
      .filter(([, { reportedUntilMs }]) => reportedUntilMs > now)
      .slice(0, MAX_REPORTED)
      .map(([id]) => id)
  }

  /**
   * Records that another entry instance could not reach a server. Ignored if this process
   * got a successful response from it within the last `UNREACHABLE_MS`.
   */
  recordPeerUnreachable(serverId: string, peer: string): void {
    const { lastGoodAtMs } = this.#decayed(serverId)
    if (this.clock() - lastGoodAtMs >= UNREACHABLE_MS) this.#avoid(serverId, peer)
  }

  #avoid(serverId: string, source: string): void {
    const record = this.#decayed(serverId)
    const now = this.clock()
    const wasAvoided = record.unreachableUntilMs > now
    record.unreachableUntilMs = now + UNREACHABLE_MS
    if (!wasAvoided) this.onUnreachable(serverId, source)
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

  /**
   * The servers that are not avoided, or all if more than half would be.
   *
   * @param isAvoidedToo Whether a server is avoided for another reason.
   */
  usable<T extends { readonly id: string }>(
    servers: readonly T[],
    isAvoidedToo: (server: T) => boolean = () => false,
  ): readonly T[] {
    const healthy = servers.filter(
      (server) => !this.isAvoided(server.id) && !isAvoidedToo(server),
    )
    return healthy.length * 2 >= servers.length && healthy.length > 0 ? healthy : servers
  }

  #decayed(serverId: string): HealthRecord {
    const now = this.clock()
    const existing = this.#records.get(serverId)
    if (!existing) {
      const record = {
        good: 0,
        bad: 0,
        decayedAtMs: now,
        lastGoodAtMs: Number.NEGATIVE_INFINITY,
        unreachableUntilMs: 0,
        reportedUntilMs: 0,
      }
      this.#records.set(serverId, record)
      return record
    }
    const factor = Math.exp(-(now - existing.decayedAtMs) / DECAY_MS)
    existing.good *= factor
    existing.bad *= factor
    existing.decayedAtMs = now
    return existing
  }
}
