/**
 * Sessions that lately ran on a version that is to be replaced, at any entry instance.
 *
 * Answers the pattern in which requests of one session reach several entry instances
 * while a new version is tried: a session that has begun on the old version stays there.
 */
import { hash32, type Clock } from '@wagtailway/core'

/** Sessions that are told to other entry instances in one report at most. */
const MOST_REPORTED = 120

/**
 * Last uses by session.
 *
 * @example
 * sessions.used('summariser', 'session-7')
 * sessions.wasOnOld('summariser', 'session-7') // true for the next five seconds
 */
export class RecentSessions {
  readonly #lastUseMs = new Map<number, number>()
  /** Uses at this instance, the only ones that are told to others. */
  readonly #ownUseMs = new Map<number, number>()

  private constructor(
    private readonly clock: Clock,
    private readonly sessionMs: number,
  ) {}

  /** @param sessionMs Requests of a session follow each other within this time. */
  static create(clock: Clock, sessionMs: number): RecentSessions {
    return new RecentSessions(clock, sessionMs)
  }

  /** Notes a request of a session on the old version. */
  noteUse(service: string, sessionKey: string): void {
    const hash = hashOf(service, sessionKey)
    this.notePeerUse(hash)
    this.#ownUseMs.delete(hash)
    this.#ownUseMs.set(hash, this.clock())
  }

  /** Notes a session that another entry instance reports. */
  notePeerUse(hash: number): void {
    this.#lastUseMs.delete(hash)
    this.#lastUseMs.set(hash, this.clock())
  }

  wasOnOld(service: string, sessionKey: string): boolean {
    const lastMs = this.#lastUseMs.get(hashOf(service, sessionKey))
    return lastMs !== undefined && this.clock() - lastMs < this.sessionMs
  }

  /** Sessions used at this instance within `ms`, the newest ones last. */
  within(ms: number): number[] {
    this.#forgetOld(this.#lastUseMs)
    this.#forgetOld(this.#ownUseMs)
    const now = this.clock()
    const recent = [...this.#ownUseMs].filter(([, atMs]) => now - atMs < ms)
    return recent.slice(-MOST_REPORTED).map(([hash]) => hash)
  }

  /** Entries are in the order of their use. */
  #forgetOld(uses: Map<number, number>): void {
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
