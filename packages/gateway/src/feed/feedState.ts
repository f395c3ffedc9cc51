/**
 * All store objects of one kind as known to this process, and the time at which they were
 * last confirmed to be current. Updates come from the store or from other entry instances.
 */
import type { Clock } from '@wagtailway/core'

/**
 * Changed objects retained for other entry instances. An instance that needs older changes
 * gets the complete list.
 */
const MAX_HISTORY_CHANGES = 300

/**
 * Time between two confirmations from which the store counts as having been unavailable,
 * in milliseconds.
 */
const OUTAGE_THRESHOLD_MS = 2_500

/**
 * How often a confirmation may be passed on. Its age leaves out the time from the creation
 * of a report until it is read, so one that were passed on without end would stay young.
 */
const MAX_HOPS = 2

/** Assumed number for the confirmations of earlier builds, which pass them on once more. */
const UNKNOWN_HOPS = 1

/** A listed or changed object; `object` is undefined if it was deleted or can't be read. */
export interface FeedEvent<T> {
  readonly name: string
  readonly object: T | undefined
}

/** A point in the history of the store. */
export interface StorePosition {
  /**
   * Number of the store's history. It rises when the store is restored from an older copy;
   * revisions of different eras are not comparable.
   */
  readonly era: number
  readonly revision: number
}

/** How far an instance has followed the objects of one kind. */
export interface FeedMark {
  readonly kind: string
  /**
   * Era of the revisions; `undefined` from an earlier build, which means that of the
   * receiver.
   */
  readonly era: number | undefined
  /**
   * Store revision of the last list or update with changes; no object of the kind has
   * changed between it and `asOf`.
   */
  readonly changedAt: number
  /** Newest store revision up to which all changes are known. */
  readonly asOf: number
  /**
   * Time since it was last confirmed that nothing has changed after `asOf`, in
   * milliseconds.
   */
  readonly ageMs: number
  /**
   * How often that confirmation has been passed on from one instance to another; absent
   * from an earlier build.
   */
  readonly hops?: number | undefined
}

/** Highest era that messages between instances hold. */
const MAX_ERA = 4_294_967_295

/**
 * Whether the era and the revisions of a mark are whole numbers, so that they can be compared.
 *
 * @example
 * isComparable({ kind: 'config', era: 1, changedAt: 9, asOf: 9.5, ageMs: 0 }) // false
 */
export function isComparable({ era = 0, changedAt, asOf }: FeedMark): boolean {
  const areWhole = [era, changedAt, asOf].every(
    (position) => Number.isSafeInteger(position) && position >= 0,
  )
  return areWhole && era <= MAX_ERA
}

/** Where an update came from: the store itself, or the host of another instance. */
export type FeedSource = 'store' | { readonly host: string }

/** An update that was applied, for logs and metrics. */
export interface AppliedUpdate {
  readonly kind: string
  readonly source: FeedSource
  readonly isWhole: boolean
  readonly eventCount: number
  readonly era: number
  readonly asOf: number
  /** Age of the confirmation that came with the update, in milliseconds. */
  readonly ageMs: number
}

/** Update that an instance sends to one that is behind. */
export interface FeedUpdate<T> {
  readonly mark: FeedMark
  /** Whether the events are the complete list instead of changes. */
  readonly isWhole: boolean
  readonly events: readonly FeedEvent<T>[]
}

/** The first list of a new era, and where this process stood before it. */
export interface Restored<T> {
  readonly before: StorePosition
  readonly after: StorePosition
  /** What the list changes in the known objects. */
  readonly events: readonly FeedEvent<T>[]
}

/**
 * Whether this process is current, behind or ahead compared with the mark of another
 * instance.
 */
export type MarkComparison = 'current' | 'behind' | 'ahead'

interface Change<T> extends FeedEvent<T> {
  readonly revision: number
}

export interface FeedStateOptions<T> {
  readonly kind: string
  readonly clock: Clock
  /** Whether two objects of the same name don't differ in anything. */
  readonly isSame: (a: T, b: T) => boolean
  /** Called with the first complete list. */
  readonly onList: (events: readonly FeedEvent<T>[]) => void
  readonly onChanges: (events: readonly FeedEvent<T>[]) => void
  /** Called instead of `onChanges` with the first list of a new era. */
  readonly onRestored: (restored: Restored<T>) => void
  /** Called at the first confirmation after an outage, before the update is applied. */
  readonly onStoreRecovered: (outageMs: number) => void
  /** Called after the first list and each update that changed something. */
  readonly onApplied: (applied: AppliedUpdate) => void
}

/**
 * Objects of one kind that this process follows.
 *
 * @example
 * feed.applyList(events, { era: 1, revision: 530 }, sentAtMs, 'store')
 * feed.mark.ageMs // 4
 */
export class FeedState<T> {
  readonly #objects = new Map<string, T>()
  /**
   * The newest change of each object, by name, the oldest first. Earlier changes of the
   * same object are dropped, so an update grows with the state and not with the number of
   * changes.
   */
  readonly #history = new Map<string, Change<T>>()
  /** Each object changed after this revision is in the history. */
  #historyStartRevision = 0
  #era = 0
  #changedAt = 0
  #asOf = 0
  #confirmedAtMs = Number.NEGATIVE_INFINITY
  #hops = 0

  private constructor(private readonly opts: FeedStateOptions<T>) {}

  static create<T>(opts: FeedStateOptions<T>): FeedState<T> {
    return new FeedState(opts)
  }

  get kind(): string {
    return this.opts.kind
  }

  /** Whether a complete list has been received. */
  get hasList(): boolean {
    return this.#asOf > 0
  }

  get era(): number {
    return this.#era
  }

  get asOf(): number {
    return this.#asOf
  }

  /** Newest position up to which all changes are known. */
  get position(): StorePosition {
    return { era: this.#era, revision: this.#asOf }
  }

  get ageMs(): number {
    return this.opts.clock() - this.#confirmedAtMs
  }

  get mark(): FeedMark {
    return {
      kind: this.opts.kind,
      era: this.#era,
      changedAt: this.#changedAt,
      asOf: this.#asOf,
      ageMs: this.ageMs,
      hops: this.#hops,
    }
  }

  /**
   * Applies a complete list that the store created after `sentAtMs`. Only what differs
   * from the known state counts as changed, so that other instances that have it already
   * don't pull it again; after a restore of the store all of it does.
   *
   * @returns Whether it was applied; a list older than the known state is ignored.
   */
  applyList(
    events: readonly FeedEvent<T>[],
    position: StorePosition,
    sentAtMs: number,
    source: FeedSource,
    hops = 0,
  ): boolean {
    if (isBefore(position, this.position)) return false
    const { era, revision } = position
    if (!this.hasList) {
      this.#confirm(sentAtMs, hops)
      this.#startHistory(events, position)
      this.opts.onList(events)
      this.#reportApplied(source, true, events.length)
      return true
    }
    const changes = this.#differences(events)
    this.#confirm(sentAtMs, hops)
    if (era === this.#era) {
      this.#applyEvents(changes, revision, source, true)
      return true
    }
    const before = this.position
    this.#startHistory(events, position)
    this.opts.onRestored({ before, after: this.position, events: changes })
    this.#reportApplied(source, true, changes.length)
    return true
  }

  /** Applies all changes after the position `after`, up to the revision `asOf`. */
  applyChanges(
    events: readonly FeedEvent<T>[],
    after: StorePosition,
    asOf: number,
    sentAtMs: number,
    source: FeedSource,
    hops = 0,
  ): void {
    if (after.era !== this.#era) return
    // The state is already newer (another source was faster), or changes between `#asOf`
    // and `after` are missing.
    if (asOf < this.#asOf || after.revision > this.#asOf) return
    this.#confirm(sentAtMs, hops)
    this.#applyEvents(events, asOf, source, false)
  }

  #applyEvents(
    events: readonly FeedEvent<T>[],
    asOf: number,
    source: FeedSource,
    isWhole: boolean,
  ): void {
    this.#asOf = asOf
    if (events.length === 0) return
    this.#changedAt = asOf
    for (const { name, object } of events) {
      if (object === undefined) this.#objects.delete(name)
      else this.#objects.set(name, object)
      this.#history.delete(name)
      this.#history.set(name, { name, object, revision: asOf })
    }
    this.#trimHistory()
    this.opts.onChanges(events)
    this.#reportApplied(source, isWhole, events.length)
  }

  /** Replaces all objects by those of a list whose earlier changes are not known. */
  #startHistory(events: readonly FeedEvent<T>[], { era, revision }: StorePosition): void {
    this.#objects.clear()
    for (const { name, object } of events) {
      if (object !== undefined) this.#objects.set(name, object)
    }
    this.#history.clear()
    this.#historyStartRevision = revision
    this.#era = era
    this.#changedAt = revision
    this.#asOf = revision
  }

  /** Changes that lead from the known objects to those of a complete list. */
  #differences(listed: readonly FeedEvent<T>[]): FeedEvent<T>[] {
    const names = new Set(listed.map(({ name }) => name))
    const removed = [...this.#objects.keys()].filter((name) => !names.has(name))
    const changed = listed.filter(({ name, object }) => {
      const known = this.#objects.get(name)
      if (known === undefined || object === undefined) return known !== object
      return !this.opts.isSame(known, object)
    })
    return [...removed.map((name) => ({ name, object: undefined })), ...changed]
  }

  /**
   * Compares this feed with the mark of another instance. If this feed has all changes
   * that the mark covers, adopts the mark's revision, and its confirmation time unless it
   * has been passed on too often.
   */
  applyMark(mark: FeedMark): MarkComparison {
    const { era = this.#era } = mark
    if (this.hasList && era !== this.#era) return era < this.#era ? 'ahead' : 'behind'
    if (mark.asOf < this.#asOf) return 'ahead'
    if (!this.hasList || mark.changedAt > this.#asOf) return 'behind'
    const hops = (mark.hops ?? UNKNOWN_HOPS) + 1
    if (hops <= MAX_HOPS) this.#confirm(this.opts.clock() - mark.ageMs, hops)
    this.#asOf = mark.asOf
    return 'current'
  }

  /** Update for an instance that knows all changes up to the position `after`. */
  updateSince(after: StorePosition): FeedUpdate<T> {
    const isWhole = after.era !== this.#era || after.revision < this.#historyStartRevision
    const events = isWhole
      ? [...this.#objects].map(([name, object]) => ({ name, object }))
      : [...this.#history.values()]
          .filter(({ revision }) => revision > after.revision)
          .map(({ name, object }) => ({ name, object }))
    return { mark: this.mark, isWhole, events }
  }

  /** Applies an update that was requested from another instance at `sentAtMs`. */
  applyUpdate(
    { mark, isWhole, events }: FeedUpdate<T>,
    after: StorePosition,
    sentAtMs: number,
    source: FeedSource,
  ): void {
    const confirmedAtMs = sentAtMs - mark.ageMs
    // Its age counts from the request, so a pull makes a confirmation no younger.
    const { era = after.era, asOf, hops = UNKNOWN_HOPS } = mark
    if (isWhole) {
      const position = { era, revision: asOf }
      this.applyList(events, position, confirmedAtMs, source, hops)
    } else if (era === after.era)
      this.applyChanges(events, after, asOf, confirmedAtMs, source, hops)
  }

  #trimHistory(): void {
    for (const [name, { revision }] of this.#history) {
      if (this.#history.size <= MAX_HISTORY_CHANGES) return
      this.#history.delete(name)
      this.#historyStartRevision = revision
    }
  }

  #reportApplied(source: FeedSource, isWhole: boolean, eventCount: number): void {
    const { kind, onApplied } = this.opts
    onApplied({
      kind,
      source,
      isWhole,
      eventCount,
      era: this.#era,
      asOf: this.#asOf,
      ageMs: Math.round(this.ageMs),
    })
  }

  /** @param hops How often the confirmation was passed on; 0 from the store itself. */
  #confirm(newConfirmedAtMs: number, hops: number): void {
    const outageMs = newConfirmedAtMs - this.#confirmedAtMs
    if (this.hasList && outageMs >= OUTAGE_THRESHOLD_MS)
      this.opts.onStoreRecovered(Math.round(outageMs))
    if (newConfirmedAtMs < this.#confirmedAtMs) return
    this.#confirmedAtMs = newConfirmedAtMs
    this.#hops = hops
  }
}

/**
 * Whether a position precedes another one.
 *
 * @example
 * isBefore({ era: 1, revision: 530 }, { era: 2, revision: 12 }) // true
 */
export function isBefore(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision < b.revision : a.era < b.era
}
