/**
 * The configuration in force at this node and how fresh it is known to be.
 *
 * A revision replaces only an older one. A node that can't show that its
 * revision was the newest within the freshness bound must refuse new requests,
 * unless the platform is away for so many that nothing can be accepted.
 */
import type { Clock } from '../clock.js'
import { ConfigIndex } from '../config/configIndex.js'
import type { EffectiveConfig } from '../config/effective.js'
import { toItems } from './configItems.js'
import { ItemHistory, type ItemDelta, type ItemSet } from './itemHistory.js'

/** Revisions from which a delta can be given. */
const KEPT_REVISIONS = 8

export interface ConfigHolderOptions {
  /** Monotonic clock. */
  readonly clock: Clock
  /** Age of the newest proof beyond which the configuration is stale, in milliseconds. */
  readonly freshMs: number
  /** Whether nothing can be accepted now because the platform is away; false by default. */
  readonly isOutage?: () => boolean
}

/**
 * Holds the newest configuration.
 *
 * @example
 * const holder = ConfigHolder.create({ clock: monotonicClock, freshMs: 10_000 })
 * holder.offer(7, effective)
 * holder.confirm(7, 0)
 */
export class ConfigHolder {
  readonly #history = ItemHistory.create(KEPT_REVISIONS)
  readonly #startedAtMs: number
  #current: ConfigIndex | undefined
  #confirmedAtMs = Number.NEGATIVE_INFINITY
  #knownRevision = 0
  #hasOwnProof = false

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

  /** Newest revision that any peer has named, whether or not this node has it. */
  get knownRevision(): number {
    return Math.max(this.#knownRevision, this.revision)
  }

  /** Age of the proof that the revision is the newest, in milliseconds. */
  get ageMs(): number {
    return this.opts.clock() - this.#confirmedAtMs
  }

  /** Whether the platform was asked since this node started, by it or for it. */
  get hasOwnProof(): boolean {
    return this.#hasOwnProof
  }

  get isFresh(): boolean {
    if (this.#current === undefined) return false
    return this.ageMs <= this.opts.freshMs || this.isServingUnconfirmed
  }

  /** Whether enough listed members lately said that they don't reach the platform. */
  get isOutageClaimed(): boolean {
    return this.opts.isOutage?.() ?? false
  }

  /** Whether this node serves without a proof, because of an outage. */
  get isServingUnconfirmed(): boolean {
    if (this.#current === undefined || this.ageMs <= this.opts.freshMs) return false
    return this.revision >= this.knownRevision && this.isOutageClaimed
  }

  /** Items of the newest revision. */
  get items(): ItemSet {
    return this.#history.latest
  }

  /** Takes a revision if it is newer; returns whether it came into force. */
  offer(revision: number, effective: EffectiveConfig): boolean {
    if (revision <= this.revision) return false
    this.#current = ConfigIndex.create(revision, effective)
    this.#history.put(revision, toItems(effective))
    return true
  }

  /** Changes since a revision, for a peer. */
  deltaFrom(revision: number): ItemDelta {
    return this.#history.deltaFrom(revision)
  }

  /** Notes that a peer named this revision. */
  heardOf(revision: number): void {
    this.#knownRevision = Math.max(this.#knownRevision, revision)
  }

  /** Notes that `revision` was the newest `ageMs` ago. */
  confirm(revision: number, ageMs: number): void {
    if (revision !== this.revision || revision === 0) return
    const lookedAtMs = this.opts.clock() - ageMs
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, lookedAtMs)
    this.#hasOwnProof ||= lookedAtMs >= this.#startedAtMs
  }
}
