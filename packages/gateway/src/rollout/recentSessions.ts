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
 * sessions.noteUse('summariser', 'session-7')
 * sessions.wasOnOldVersion('summariser', 'session-7') // true for the next five seconds
 */
export class RecentSessions {
  readonly #lastUseMs = new Map<number, number>()
  /** Uses at this instance, the only ones that it reports to peers. */
  readonly #ownUseMs = new Map<number, number>()

  private constructor(
    private readonly clock: Clock,
    private readonly sessionMs: number,
  ) {}

  /** @param sessionMs Longest time between two requests of a session, in milliseconds. */
  static create(clock: Clock, sessionMs: number): RecentSessions {
    return new RecentSessions(clock, sessionMs)
  }

  /** Records a request of a session on the old version. */
  noteUse(service: string, sessionKey: string): void {
    const hash = hashOf(service, sessionKey)
    this.recordPeerUse(hash)
    this.#ownUseMs.delete(hash)
    this.#ownUseMs.set(hash, this.clock())
  }

  /** Records the use of a session that another entry instance reported, by its hash. */
  recordPeerUse(hash: number): void {
    this.#lastUseMs.delete(hash)
    this.#lastUseMs.set(hash, this.clock())
  }

  wasOnOldVersion(service: string, sessionKey: string): boolean {
    const lastUseAtMs = this.#lastUseMs.get(hashOf(service, sessionKey))
    return lastUseAtMs !== undefined && this.clock() - lastUseAtMs < this.sessionMs
  }

  /** Hashes of the sessions used at this instance within `windowMs`, the newest last. */
  hashesWithin(windowMs: number): number[] {
    this.#removeExpired(this.#lastUseMs)
    this.#removeExpired(this.#ownUseMs)
    const now = this.clock()
    const recent = [...this.#ownUseMs].filter(([, atMs]) => now - atMs < windowMs)
    return recent.slice(-MAX_REPORTED).map(([hash]) => hash)
  }

  /** Removes expired entries; they are in the order of their use, the oldest first. */
  #removeExpired(uses: Map<number, number>): void {
    const now = this.clock()
    for (const [hash, atMs] of uses) {
      if (now - atMs < this.sessionMs) break
      uses.delete(hash)
    }
  }
}

function hashOf(service: string, sessionKey: string): number {
  return hash32(`${service} ${sessionKey}`)
}
