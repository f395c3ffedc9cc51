/**
 * The configuration in force at this node, and when it was last confirmed as the newest.
 *
 * A revision replaces only an older one. A node without proof that its revision was the
 * newest within the freshness bound must refuse new requests, unless so many nodes
 * can't reach the platform that no configuration change can be accepted.
 */
import type { Clock } from '../clock.js'
import { ConfigIndex } from '../config/configIndex.js'
import type { EffectiveConfig } from '../config/effective.js'
import { toItems } from './configItems.js'
import { ItemHistory, type ItemDelta, type ItemSet } from './itemHistory.js'

/** Number of latest revisions from which a delta can be computed. */
const MAX_REVISIONS = 8

export interface ConfigHolderOptions {
  /** Monotonic clock. */
  readonly clock: Clock
  /**
   * Age of the newest proof of freshness beyond which the configuration is stale, in
   * milliseconds.
   */
  readonly freshMs: number
  /**
   * Whether so many nodes can't reach the platform that no configuration change can be
   * accepted now.
   * @default () => false
   */
  readonly isOutage?: () => boolean
}

/**
 * Holds the newest configuration.
 *
 * @example
 * const holder = ConfigHolder.create({ clock: monotonicClock, freshMs: 10_000 })
 * holder.apply(7, effective)
 * holder.confirm(7, 0)
 */
export class ConfigHolder {
  readonly #history = ItemHistory.create(MAX_REVISIONS)
  readonly #startedAtMs: number
  #current: ConfigIndex | undefined
  #confirmedAtMs = Number.NEGATIVE_INFINITY
  #knownRevision = 0
  #isConfirmedSinceStart = false

  private constructor(private readonly opts: ConfigHolderOptions) {
    this.#startedAtMs = opts.clock()
  }

  static create(opts: ConfigHolderOptions): ConfigHolder {
    return new ConfigHolder(opts)
  }

  get current(): ConfigIndex | undefined {
    return this.#current
  }

  get revision(): number {
    return this.#current?.revision ?? 0
  }

  /** Newest revision that any peer has reported, whether or not this node has it. */
  get knownRevision(): number {
    return Math.max(this.#knownRevision, this.revision)
  }

  /**
   * Time since this node's revision was last confirmed as the newest, in milliseconds.
   */
  get ageMs(): number {
    return this.opts.clock() - this.#confirmedAtMs
  }

  /**
   * Whether the revision in force was confirmed as the newest by a read of the platform
   * after this node started, whichever node made the read.
   */
  get isConfirmedSinceStart(): boolean {
    return this.#isConfirmedSinceStart
  }

  get isFresh(): boolean {
    if (this.#current === undefined) return false
    return this.ageMs <= this.opts.freshMs || this.isServingUnconfirmed
  }

  /**
   * Whether enough listed members have recently claimed that they can't reach the
   * platform.
   */
  get isOutageClaimed(): boolean {
    return this.opts.isOutage?.() ?? false
  }

  /**
   * Whether this node serves although its proof of freshness is stale, because of an
   * outage.
   */
  get isServingUnconfirmed(): boolean {
    if (this.#current === undefined || this.ageMs <= this.opts.freshMs) return false
    return this.revision >= this.knownRevision && this.isOutageClaimed
  }

  /** Items of the newest revision. */
  get items(): ItemSet {
    return this.#history.latest
  }

  /**
   * Applies a revision if it is newer than the current one; returns whether it was
   * applied.
   */
  apply(revision: number, effective: EffectiveConfig): boolean {
    if (revision <= this.revision) return false
    this.#current = ConfigIndex.create(revision, effective)
    this.#history.put(revision, toItems(effective))
    return true
  }

  /** Changes since a revision, to send to a peer. */
  deltaFrom(revision: number): ItemDelta {
    return this.#history.deltaFrom(revision)
  }

  /** Records that a peer reported this revision. */
  recordKnownRevision(revision: number): void {
    this.#knownRevision = Math.max(this.#knownRevision, revision)
  }

  /**
   * Records that `revision` was the newest `ageMs` milliseconds ago; ignored for any
   * other revision.
   */
  confirm(revision: number, ageMs: number): void {
    if (revision !== this.revision || revision === 0) return
    const readAtMs = this.opts.clock() - ageMs
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, readAtMs)
    this.#isConfirmedSinceStart ||= readAtMs >= this.#startedAtMs
  }
}
