/**
 * One kind of the store's objects as this process knows it, with the age of the proof
 * that it is current. News come from the store or from other entry instances.
 */
import type { Clock } from '@wagtailway/core'

/** Changes that are kept for other entry instances; older ones need the whole list. */
const HISTORY_LENGTH = 300

/** A gap between two proofs from which the store counts as having been away, in milliseconds. */
const OUTAGE_MS = 2_500

/** A changed object; `object` is undefined if it was deleted or can't be read. */
export interface FeedEvent<T> {
  readonly name: string
  readonly object: T | undefined
}

/** How far an instance has followed a kind. */
export interface FeedMark {
  readonly kind: string
  /** The store's revision at the last change of the kind. */
  readonly changedAt: number
  /** The newest revision up to which all changes are known. */
  readonly asOf: number
  /** Age of the proof that nothing has changed since, in milliseconds. */
  readonly ageMs: number
}

/** What one instance hands to another that is behind. */
export interface FeedNews<T> {
  readonly mark: FeedMark
  /** Whether the events are the whole list. */
  readonly isWhole: boolean
  readonly events: readonly FeedEvent<T>[]
}

/** What a mark means for this process. */
export type Standing = 'current' | 'behind' | 'ahead'

interface Change<T> extends FeedEvent<T> {
  readonly revision: number
}

export interface FeedStateOptions<T> {
  readonly kind: string
  readonly clock: Clock
  readonly onList: (events: readonly FeedEvent<T>[]) => void
  readonly onChanges: (events: readonly FeedEvent<T>[]) => void
  /** Called when the store is heard of again after an outage, before its news. */
  readonly onReturn: (outageMs: number) => void
}

/**
 * Followed objects of one kind.
 *
 * @example
 * feed.takeList(objects, 530, sentAtMs)
 * feed.mark.ageMs // 4
 */
export class FeedState<T> {
  readonly #objects = new Map<string, T>()
  #history: Change<T>[] = []
  /** Revision before the first change of the history. */
  #historyFrom = 0
  #changedAt = 0
  #asOf = 0
  #provenAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: FeedStateOptions<T>) {}

  static create<T>(opts: FeedStateOptions<T>): FeedState<T> {
    return new FeedState(opts)
  }

  get kind(): string {
    return this.opts.kind
  }

  /** Whether a whole list has been read. */
  get isKnown(): boolean {
    return this.#asOf > 0
  }

  get asOf(): number {
    return this.#asOf
  }

  get ageMs(): number {
    return this.opts.clock() - this.#provenAtMs
  }

  get mark(): FeedMark {
    return {
      kind: this.opts.kind,
      changedAt: this.#changedAt,
      asOf: this.#asOf,
      ageMs: this.ageMs,
    }
  }

  /** Takes in a whole list that the store made after `sentAtMs`. */
  takeList(events: readonly FeedEvent<T>[], asOf: number, sentAtMs: number): void {
    if (asOf < this.#asOf) return
    this.#prove(sentAtMs)
    this.#objects.clear()
    for (const { name, object } of events) {
      if (object !== undefined) this.#objects.set(name, object)
    }
    this.#history = []
    this.#historyFrom = asOf
    this.#changedAt = asOf
    this.#asOf = asOf
    this.opts.onList(events)
  }

  /** Takes in all changes after `after`, up to `asOf`. */
  takeChanges(
    events: readonly FeedEvent<T>[],
    after: number,
    asOf: number,
    sentAtMs: number,
  ): void {
    // Another source was faster, or changes in between are missing.
    if (asOf < this.#asOf || after > this.#asOf) return
    this.#prove(sentAtMs)
    this.#asOf = asOf
    if (events.length === 0) return
    this.#changedAt = asOf
    for (const { name, object } of events) {
      if (object === undefined) this.#objects.delete(name)
      else this.#objects.set(name, object)
      this.#history.push({ name, object, revision: asOf })
    }
    const dropped = this.#history.length - HISTORY_LENGTH
    if (dropped > 0) {
      this.#historyFrom = this.#history[dropped - 1]?.revision ?? this.#historyFrom
      this.#history = this.#history.slice(dropped)
    }
    this.opts.onChanges(events)
  }

  /** Compares with another instance's mark; a mark that proves more is taken over. */
  hear(mark: FeedMark): Standing {
    if (mark.asOf < this.#asOf) return 'ahead'
    if (!this.isKnown || mark.changedAt > this.#asOf) return 'behind'
    this.#prove(this.opts.clock() - mark.ageMs)
    this.#asOf = mark.asOf
    return 'current'
  }

  /** News for an instance that knows everything up to `after`. */
  since(after: number): FeedNews<T> {
    const isWhole = after < this.#historyFrom
    const events = isWhole
      ? [...this.#objects].map(([name, object]) => ({ name, object }))
      : this.#history
          .filter(({ revision }) => revision > after)
          .map(({ name, object }) => ({ name, object }))
    return { mark: this.mark, isWhole, events }
  }

  /** Takes in news of another instance that were asked for at `sentAtMs`. */
  takeNews(
    { mark, isWhole, events }: FeedNews<T>,
    after: number,
    sentAtMs: number,
  ): void {
    const provenAtMs = sentAtMs - mark.ageMs
    if (isWhole) this.takeList(events, mark.asOf, provenAtMs)
    else this.takeChanges(events, after, mark.asOf, provenAtMs)
  }

  #prove(atMs: number): void {
    const outageMs = atMs - this.#provenAtMs
    if (this.isKnown && outageMs >= OUTAGE_MS) this.opts.onReturn(Math.round(outageMs))
    this.#provenAtMs = Math.max(this.#provenAtMs, atMs)
  }
}
