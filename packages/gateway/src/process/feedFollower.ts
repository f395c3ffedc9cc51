/** Follows all objects of one kind in the store, as often as the schedule says. */
import { setTimeout as delay } from 'node:timers/promises'
import type { Clock, Random } from '@wagtailway/core'
import type { FeedState } from '../feed/feedState.js'
import { planLook, type LookInputs } from '../feed/pollSchedule.js'
import type { Log } from '../observe/log.js'
import type { FollowedKind, StoreFailure, StorePort } from './storePort.js'

/** First pause after a failed call, in milliseconds; doubled by each further one. */
const FIRST_PAUSE_MS = 60

/** Longest pause between calls that fail, in milliseconds; recovery is found this late. */
const LONGEST_PAUSE_MS = 800

/** Pause between two decisions whether to ask, in milliseconds. */
const IDLE_PAUSE_MS = 100

export interface FollowOptions<T> {
  readonly kind: FollowedKind
  readonly feed: FeedState<T>
  readonly store: StorePort<T>
  readonly log: Log
  readonly clock: Clock
  readonly random: Random
  /** The fleet, as far as the schedule asks for it. */
  readonly fleet: () => Pick<
    LookInputs,
    'isMeeting' | 'instanceCount' | 'zoneRank' | 'boundMs'
  >
  /** Called after changes that came from the store itself. */
  readonly onNews: () => void
}

/**
 * Keeps a feed up to date.
 *
 * @example
 * const follower = Follower.create(options)
 * follower.close()
 */
export class Follower<T> {
  #isClosed = false
  #failures = 0
  #lookedAtMs = Number.NEGATIVE_INFINITY
  #isHistoryGone = false

  private constructor(private readonly opts: FollowOptions<T>) {
    void this.#loop()
  }

  static create<T>(opts: FollowOptions<T>): Follower<T> {
    return new Follower(opts)
  }

  close(): void {
    this.#isClosed = true
  }

  async #loop(): Promise<void> {
    const { feed, clock, fleet } = this.opts
    while (!this.#isClosed) {
      const look = planLook({
        ...fleet(),
        isKnown: feed.isKnown,
        ageMs: feed.ageMs,
        failures: this.#failures,
        sinceLookMs: clock() - this.#lookedAtMs,
      })
      if (!look) {
        await delay(IDLE_PAUSE_MS)
        continue
      }
      this.#lookedAtMs = clock()
      if (!feed.isKnown || this.#isHistoryGone) await this.#list()
      else await this.#watch(look.waitMs)
      if (this.#failures > 0) await this.#pause()
    }
  }

  async #list(): Promise<void> {
    const { kind, feed, store, clock } = this.opts
    const sentAtMs = clock()
    const listed = await store.list(kind)
    if (listed.err) {
      this.#failed(listed.val)
      return
    }
    this.#answered()
    this.#isHistoryGone = false
    feed.takeList(listed.val.events, listed.val.revision, sentAtMs)
  }

  async #watch(waitMs: number): Promise<void> {
    const { kind, feed, store, clock, log, onNews } = this.opts
    const sentAtMs = clock()
    const after = feed.asOf
    const watched = await store.watch(kind, after, waitMs)
    if (watched.ok) {
      this.#answered()
      const { events, revision } = watched.val
      feed.takeChanges(events, after, revision, sentAtMs)
      if (events.length > 0) onNews()
      return
    }
    if (watched.val.type === 'history_gone') {
      log('store_history_gone', { kind, revision: after })
      this.#isHistoryGone = true
    } else this.#failed(watched.val)
  }

  #failed({ detail }: StoreFailure): void {
    this.#failures += 1
    if (this.#failures > 1) return
    const { feed, log } = this.opts
    log('store_lost', { kind: feed.kind, asOf: feed.asOf, ageMs: feed.ageMs, detail })
  }

  #answered(): void {
    if (this.#failures === 0) return
    const { feed, log } = this.opts
    log('store_regained', {
      kind: feed.kind,
      failures: this.#failures,
      ageMs: feed.ageMs,
    })
    this.#failures = 0
  }

  async #pause(): Promise<void> {
    const longest = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#failures)
    await delay(longest * (0.5 + this.opts.random() / 2))
  }
}
