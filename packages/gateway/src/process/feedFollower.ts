/**
 * Polls the store for all objects of one kind, as often as the poll schedule requires.
 */
import type { Clock, Random } from '@wagtailway/core'
import type { FeedState } from '../feed/feedState.js'
import { planPoll, type PollInputs, type PollReason } from '../feed/pollSchedule.js'
import type { Log } from '../observe/log.js'
import type { FollowedKind, StoreFailure, StorePort } from './storePort.js'

/**
 * Base of the exponential backoff after failed calls, in milliseconds; doubled by each
 * failure.
 */
const BACKOFF_BASE_MS = 60

/**
 * Longest backoff, in milliseconds; also the longest delay until a watching instance
 * detects the recovery of the store.
 */
const MAX_BACKOFF_MS = 800

/** Interval between two checks of the schedule while no poll is due, in milliseconds. */
const SCHEDULE_CHECK_INTERVAL_MS = 100

export interface FeedFollowerOptions<T> {
  readonly kind: FollowedKind
  readonly feed: FeedState<T>
  readonly store: Pick<StorePort<T>, 'list' | 'watch'>
  readonly log: Log
  readonly clock: Clock
  readonly random: Random
  /** Resolves after a delay in milliseconds. */
  readonly sleep: (ms: number) => Promise<unknown>
  /** Returns the current inputs of the schedule that describe the fleet. */
  readonly fleet: () => Pick<
    PollInputs,
    'isDiscovering' | 'instanceCount' | 'zoneRank' | 'maxPropagationMs'
  >
  /** Called after changes from the store itself, not from another entry instance. */
  readonly onStoreChanges: () => void
  /** Called before each poll, to count it. */
  readonly onPoll: (kind: FollowedKind, reason: PollReason) => void
}

/**
 * Keeps a feed up to date from the store.
 *
 * @example
 * const follower = FeedFollower.create(options)
 * follower.close()
 */
export class FeedFollower<T> {
  #isClosed = false
  #failures = 0
  #lastPollAtMs = Number.NEGATIVE_INFINITY
  /** Whether the store has dropped changes after `asOf`, so that a new list is needed. */
  #isHistoryLost = false

  private constructor(private readonly opts: FeedFollowerOptions<T>) {
    void this.#loop()
  }

  static create<T>(opts: FeedFollowerOptions<T>): FeedFollower<T> {
    return new FeedFollower(opts)
  }

  close(): void {
    this.#isClosed = true
  }

  async #loop(): Promise<void> {
    const { feed, clock, fleet, sleep } = this.opts
    while (!this.#isClosed) {
      const poll = planPoll({
        ...fleet(),
        hasList: feed.hasList,
        ageMs: feed.ageMs,
        failures: this.#failures,
        sinceLastPollMs: clock() - this.#lastPollAtMs,
      })
      if (!poll) {
        await sleep(SCHEDULE_CHECK_INTERVAL_MS)
        continue
      }
      this.#reportPoll(poll.reason)
      this.#lastPollAtMs = clock()
      if (!feed.hasList || this.#isHistoryLost) await this.#list()
      else await this.#watch(poll.waitMs)
      if (this.#failures > 0) await this.#backOff()
    }
  }

  async #list(): Promise<void> {
    const { kind, feed, store, clock } = this.opts
    const sentAtMs = clock()
    const listed = await store.list(kind)
    if (listed.err) {
      this.#recordFailure(listed.val)
      return
    }
    this.#recordSuccess()
    this.#isHistoryLost = false
    feed.applyList(listed.val.events, listed.val.revision, sentAtMs, 'store')
  }

  async #watch(waitMs: number): Promise<void> {
    const { kind, feed, store, clock, log, onStoreChanges } = this.opts
    const sentAtMs = clock()
    const after = feed.asOf
    const watched = await store.watch(kind, after, waitMs)
    if (watched.ok) {
      this.#recordSuccess()
      const { events, revision } = watched.val
      feed.applyChanges(events, after, revision, sentAtMs, 'store')
      if (events.length > 0) onStoreChanges()
      return
    }
    if (watched.val.type === 'history_gone') {
      log('store_history_gone', { kind, revision: after })
      this.#isHistoryLost = true
    } else this.#recordFailure(watched.val)
  }

  #recordFailure({ detail }: StoreFailure): void {
    this.#failures += 1
    if (this.#failures > 1) return
    const { feed, log } = this.opts
    log('store_lost', { kind: feed.kind, asOf: feed.asOf, ageMs: feed.ageMs, detail })
  }

  #recordSuccess(): void {
    if (this.#failures === 0) return
    const { feed, log } = this.opts
    log('store_regained', {
      kind: feed.kind,
      failures: this.#failures,
      ageMs: feed.ageMs,
    })
    this.#failures = 0
  }

  #reportPoll(reason: PollReason): void {
    const { kind, feed, log, clock, onPoll } = this.opts
    onPoll(kind, reason)
    if (reason !== 'stale') return
    log('feed_stale', {
      kind,
      asOf: feed.asOf,
      ageMs: Math.round(feed.ageMs),
      failures: this.#failures,
      sinceLastPollMs: Math.round(clock() - this.#lastPollAtMs),
    })
  }

  async #backOff(): Promise<void> {
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2 ** this.#failures)
    await this.opts.sleep(maxDelayMs * (0.5 + this.opts.random() / 2))
  }
}
