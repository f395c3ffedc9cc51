/**
 * Polls the store for all objects of one kind, as often as the poll schedule requires.
 */
import { callOwned, type Clock, type Random } from '@wagtailway/core'
import type { FeedState } from '../feed/feedState.js'
import { planPoll, type PollInputs, type PollReason } from '../feed/pollSchedule.js'
import { describeError, type Log } from '../observe/log.js'
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

/**
 * Transfer time from which an update counts as slow, in milliseconds. After a slow one the
 * link is left free for a while, and then the list is read: a watch would return each
 * version that was stored in the meantime.
 */
const SLOW_TRANSFER_MS = 200

/** Pause after a slow update, as a share of its transfer time. */
const SLOW_TRANSFER_PAUSE = 0.5

/** Pause after a list that was older than the known state, in milliseconds. */
const OLD_LIST_PAUSE_MS = 250

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
    'isDiscovering' | 'instanceCount' | 'zoneRank' | 'maxPropagationMs' | 'pullingForMs'
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
  /** Watches in a row that the store could not continue from the known state. */
  #lostHistories = 0
  #lastPollAtMs = Number.NEGATIVE_INFINITY
  /**
   * Whether a list is read next instead of a watch: the store has dropped changes after
   * `asOf`, or a watch would return too much. A list is never larger than the state.
   */
  #needsList = false

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
    while (!this.#isClosed) {
      try {
        await this.#pollOnceDue()
      } catch (err) {
        // One update that can't be applied must not end the loop, which is never started again.
        this.#needsList = true
        this.#failures += 1
        const { kind } = this.opts.feed
        this.opts.log('feed_failed_inside', { kind, err: describeError(err) })
        await this.#backOff(this.#failures)
      }
    }
  }

  /** Polls the store, or waits a moment if no poll is due. */
  async #pollOnceDue(): Promise<void> {
    const { feed, clock, fleet, sleep } = this.opts
    const poll = planPoll({
      ...fleet(),
      hasList: feed.hasList,
      ageMs: feed.ageMs,
      failures: this.#failures,
      sinceLastPollMs: clock() - this.#lastPollAtMs,
    })
    if (!poll) {
      await sleep(SCHEDULE_CHECK_INTERVAL_MS)
      return
    }
    this.#reportPoll(poll.reason)
    this.#lastPollAtMs = clock()
    // Something has changed, so a list is not larger than the changes.
    this.#needsList ||= !feed.hasList || poll.reason === 'pull_failed'
    await callOwned('store call', feed.kind, () =>
      this.#needsList ? this.#list(poll.reason) : this.#watch(poll.waitMs),
    )
    if (this.#failures > 0) await this.#backOff(this.#failures)
  }

  async #list(reason: PollReason): Promise<void> {
    const { kind, feed, store, clock, onStoreChanges } = this.opts
    const sentAtMs = clock()
    const listed = await store.list(kind)
    if (listed.err) {
      this.#recordFailure(listed.val)
      return
    }
    this.#recordSuccess()
    this.#needsList = false
    const { era } = feed
    const { changedAt } = feed.mark
    const isApplied = feed.applyList(listed.val.events, listed.val, sentAtMs, 'store')
    const isChanged = feed.era > era || feed.mark.changedAt > changedAt
    if (reason === 'watch' && isChanged) onStoreChanges()
    // Pauses only after a list: until one has been read, the state is not confirmed.
    if (this.#lostHistories > 1) await this.#backOff(this.#lostHistories - 1)
    else if (!isApplied) await this.opts.sleep(OLD_LIST_PAUSE_MS)
  }

  async #watch(waitMs: number): Promise<void> {
    const { kind, feed, store, clock, log, onStoreChanges } = this.opts
    const sentAtMs = clock()
    const after = feed.position
    const watched = await store.watch(kind, after.revision, waitMs)
    if (watched.ok) {
      this.#recordSuccess()
      const { events, era, revision, transferMs } = watched.val
      if (era !== after.era) {
        // The store was restored; its changes after `after` are not those that follow.
        this.#needsList = true
        this.#lostHistories += 1
        return
      }
      this.#lostHistories = 0
      // Without changes the store responds at the end of the wait, and not before.
      const isWholeWait = events.length === 0 && clock() - sentAtMs >= waitMs
      const confirmedAtMs = isWholeWait ? sentAtMs + waitMs : sentAtMs
      feed.applyChanges(events, after, revision, confirmedAtMs, 'store')
      if (events.length > 0) onStoreChanges()
      if (transferMs >= SLOW_TRANSFER_MS) {
        this.#needsList = true
        await this.opts.sleep(transferMs * SLOW_TRANSFER_PAUSE)
      }
      return
    }
    this.#needsList = true
    if (watched.val.type === 'history_gone') {
      this.#lostHistories += 1
      log('store_history_gone', { kind, ...after })
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
    if (reason !== 'stale' && reason !== 'pull_failed') return
    log('feed_stale', {
      kind,
      reason,
      asOf: feed.asOf,
      ageMs: Math.round(feed.ageMs),
      failures: this.#failures,
      sinceLastPollMs: Math.round(clock() - this.#lastPollAtMs),
    })
  }

  async #backOff(attempts: number): Promise<void> {
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2 ** attempts)
    await this.opts.sleep(maxDelayMs * (0.5 + this.opts.random() / 2))
  }
}
