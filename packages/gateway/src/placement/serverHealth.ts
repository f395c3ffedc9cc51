/**
 * Judges backend servers by what callers got from them.
 *
 * Answers the patterns in which a server lists itself as ready while it fails part of its
 * requests, is silent, or is slow. Never avoids more than half of the servers, so that a
 * fault of the network or of this node doesn't empty the list.
 */
import type { Clock } from '@wagtailway/core'

/** Time constant in which an outcome loses its weight, in milliseconds. */
const MEMORY_MS = 4_000

/** Share of failures from which a server is avoided. */
const AVOID_SHARE = 0.2

/** Failures below which nothing is concluded; one may be the request's own fault. */
const LEAST_FAILURES = 1.2

/** How long a server that answered no connection is avoided, in milliseconds. */
const UNREACHABLE_MS = 2_000

/** Servers that are told to other entry instances in one report at most. */
const MOST_REPORTED = 20

interface Record {
  good: number
  bad: number
  atMs: number
  /** Last good answer. */
  goodAtMs: number
  unreachableUntilMs: number
  /** The same, as far as this process itself has seen it. */
  ownUnreachableUntilMs: number
}

/**
 * Decaying counts of outcomes.
 *
 * @example
 * const health = ServerHealth.create(clock)
 * health.note('s1', false)
 * health.usable(servers)
 */
export class ServerHealth {
  readonly #records = new Map<string, Record>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ServerHealth {
    return new ServerHealth(clock)
  }

  note(serverId: string, ok: boolean): void {
    const record = this.#faded(serverId)
    if (ok) {
      record.good += 1
      record.goodAtMs = this.clock()
      record.unreachableUntilMs = 0
      record.ownUnreachableUntilMs = 0
    } else record.bad += 1
  }

  /** Notes that no connection could be made, or that the server fell silent. */
  noteUnreachable(serverId: string): void {
    const record = this.#faded(serverId)
    record.bad += 1
    record.unreachableUntilMs = this.clock() + UNREACHABLE_MS
    record.ownUnreachableUntilMs = record.unreachableUntilMs
  }

  /** Whether no connection could be made lately, here or at another entry instance. */
  isUnreachable(serverId: string): boolean {
    return (this.#records.get(serverId)?.unreachableUntilMs ?? 0) > this.clock()
  }

  /** Servers that this process could not reach lately, for the report to others. */
  get unreachable(): string[] {
    const now = this.clock()
    return [...this.#records]
      .filter(([, { ownUnreachableUntilMs }]) => ownUnreachableUntilMs > now)
      .slice(0, MOST_REPORTED)
      .map(([id]) => id)
  }

  /** Notes that another entry instance could not reach a server. */
  notePeerUnreachable(serverId: string): void {
    const record = this.#faded(serverId)
    const now = this.clock()
    if (now - record.goodAtMs < UNREACHABLE_MS) return
    record.unreachableUntilMs = Math.max(record.unreachableUntilMs, now + UNREACHABLE_MS)
  }

  forget(serverId: string): void {
    this.#records.delete(serverId)
  }

  isAvoided(serverId: string): boolean {
    if (!this.#records.has(serverId)) return false
    const { good, bad, unreachableUntilMs } = this.#faded(serverId)
    if (unreachableUntilMs > this.clock()) return true
    return bad >= LEAST_FAILURES && bad / (good + bad) >= AVOID_SHARE
  }

  /** The servers worth using; all of them if more than half would be avoided. */
  usable<T extends { readonly id: string }>(servers: readonly T[]): readonly T[] {
    const good = servers.filter(({ id }) => !this.isAvoided(id))
    return good.length * 2 >= servers.length && good.length > 0 ? good : servers
  }

  #faded(serverId: string): Record {
    const now = this.clock()
    const old = this.#records.get(serverId)
    if (!old) {
      const record = {
        good: 0,
        bad: 0,
        atMs: now,
        goodAtMs: Number.NEGATIVE_INFINITY,
        unreachableUntilMs: 0,
        ownUnreachableUntilMs: 0,
      }
      this.#records.set(serverId, record)
      return record
    }
    const factor = Math.exp(-(now - old.atMs) / MEMORY_MS)
    old.good *= factor
    old.bad *= factor
    old.atMs = now
    return old
  }
}
