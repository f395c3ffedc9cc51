/**
 * Sessions that recently used a version that is being replaced, at any entry instance.
 *
 * Keeps a session that began on the old version there during the canary, even if its
 * requests reach several entry instances.
 */
import { hash32, type Clock } from '@wagtailway/core'

/** Maximum number of sessions in one report to other entry instances. */
const MAX_REPORTED = 120

/**
 * Time of the last use by session.
 *
 * @example
 * sessions.recordUse('summariser', 'session-7')
 * sessions.wasOnOldVersion('summariser', 'session-7') // true for the next five seconds
 */
export class RecentSessions {
  readonly #lastUseAtMs = new Map<number, number>()
  /** Time of the last use at this instance; only these sessions are reported to peers. */
  readonly #lastLocalUseAtMs = new Map<number, number>()

  private constructor(
    private readonly clock: Clock,
    private readonly sessionMs: number,
  ) {}

  /** @param sessionMs Longest time between two requests of a session, in milliseconds. */
  static create(clock: Clock, sessionMs: number): RecentSessions {
    return new RecentSessions(clock, sessionMs)
  }

  /** Records a request of a session on the old version. */
  recordUse(service: string, sessionKey: string): void {
    const hash = hashOf(service, sessionKey)
    this.recordPeerUse(hash)
    this.#record(this.#lastLocalUseAtMs, hash)
  }

  /** Records the use of a session that another entry instance reported, by its hash. */
  recordPeerUse(hash: number): void {
    this.#record(this.#lastUseAtMs, hash)
  }

  /** Number of sessions that are remembered. */
  get size(): number {
    return this.#lastUseAtMs.size
  }

  wasOnOldVersion(service: string, sessionKey: string): boolean {
    const lastUseAtMs = this.#lastUseAtMs.get(hashOf(service, sessionKey))
    return lastUseAtMs !== undefined && this.clock() - lastUseAtMs < this.sessionMs
  }

  /** Hashes of the sessions used at this instance within `windowMs`, the newest last. */
  hashesWithin(windowMs: number): number[] {
    this.#removeExpired(this.#lastUseAtMs)
    this.#removeExpired(this.#lastLocalUseAtMs)
    const now = this.clock()
    const recent = [...this.#lastLocalUseAtMs].filter(
      ([, usedAtMs]) => now - usedAtMs < windowMs,
    )
    return recent.slice(-MAX_REPORTED).map(([hash]) => hash)
  }

  /** Records a use; what has expired goes then, as nobody may ask for sessions for days. */
  #record(uses: Map<number, number>, hash: number): void {
    uses.delete(hash)
    uses.set(hash, this.clock())
    this.#removeExpired(uses)
  }

  /** Removes expired entries; they are in the order of their use, the oldest first. */
  #removeExpired(uses: Map<number, number>): void {
    const now = this.clock()
    for (const [hash, usedAtMs] of uses) {
      if (now - usedAtMs < this.sessionMs) break
      uses.delete(hash)
    }
  }
}

function hashOf(service: string, sessionKey: string): number {
  return hash32(`${service} ${sessionKey}`)
}
