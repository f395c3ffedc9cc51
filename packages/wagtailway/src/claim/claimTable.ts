/**
 * Claims on keys, decided by conditional updates of platform objects.
 *
 * Keys are grouped into ranges, one object each. Claims that arrive while a write of
 * their range is in progress share the next write, so that the number of writes is
 * bounded by time and not by the number of requests. Safety depends only on the
 * conditional update: any number of nodes may write the same range.
 */
import type { Clock } from '../clock.js'
import type { StartTimer } from '../csp/timers.js'
import { hash32 } from '../hash.js'
import type { ObjectStore } from '../platform/objectStore.js'
import type { Random } from '../random.js'
import { claimDigest } from './claimEntries.js'
import { ClaimRange } from './claimRange.js'

export interface ClaimRequest {
  readonly key: string
  /** Identifies the claimant; a repeated claim by the same holder is granted again. */
  readonly holder: string
  /** Stored with the claim and returned to later claimants. */
  readonly value: string
}

export type ClaimVerdict =
  | { readonly type: 'granted' }
  | {
      readonly type: 'held'
      readonly holder: string
      readonly value: string
      /** Whether the holder's work is known to be finished. */
      readonly done: boolean
    }
  /** No decision is known; the write may or may not have taken effect. */
  | { readonly type: 'unavailable' }

/** What a holder reports after a claim: its work is finished, or it never started. */
export type ClaimNote = 'done' | 'given_up'

/** Events of a claim table, for counting. */
export type ClaimEvent =
  | 'put'
  | 'get'
  | 'conflict'
  | 'unconfirmed'
  | 'away'
  | 'full'
  | 'late'
  | 'answered_from_memory'

export interface ClaimTableOptions {
  readonly store: ObjectStore
  /** Kind of the platform objects. */
  readonly kind: 'claim' | 'session'
  /**
   * Number of ranges. It must be the same on every node and never change, because it maps
   * keys to objects.
   * @default 32
   */
  readonly ranges?: number
  /**
   * Age after which a claim expires, in milliseconds.
   * @default 3_600_000
   */
  readonly retentionMs?: number
  /**
   * Whether a claim that is requested again is renewed for another retention time.
   * @default false
   */
  readonly renews?: boolean
  /**
   * Whether claims are never given up, so that a claim seen once can be answered from
   * memory until it expires.
   * @default false
   */
  readonly permanent?: boolean
  /**
   * Mean interval between two writes of one range by this node, in milliseconds.
   * @default 450
   */
  readonly writeIntervalMs?: number
  /**
   * Maximum number of writes of one range in a burst.
   * @default 8
   */
  readonly writeBurst?: number
  /**
   * Maximum size of an object, in bytes; beyond it, claims on new keys are unavailable.
   * @default 900_000
   */
  readonly maxObjectBytes?: number
  /**
   * Default timeout of a claim, in milliseconds.
   * @default 2_000
   */
  readonly timeoutMs?: number
  /** Monotonic clock. */
  readonly clock: Clock
  readonly wallClock: Clock
  readonly random: Random
  readonly startTimer: StartTimer
  /** Called once for each event. */
  readonly onEvent?: (event: ClaimEvent) => void
}

const DEFAULTS = {
  ranges: 32,
  retentionMs: 3_600_000,
  renews: false,
  permanent: false,
  writeIntervalMs: 450,
  writeBurst: 8,
  maxObjectBytes: 900_000,
  timeoutMs: 2_000,
  onEvent: () => undefined,
}

export type ResolvedClaimTableOptions = Required<ClaimTableOptions>

/**
 * Grants each key to one holder.
 *
 * @example
 * const claims = ClaimTable.create({ store, kind: 'claim', ...deps })
 * const verdict = await claims.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class ClaimTable {
  readonly #ranges: readonly ClaimRange[]

  private constructor(opts: ResolvedClaimTableOptions) {
    this.#ranges = Array.from({ length: opts.ranges }, (_, i) =>
      ClaimRange.create(`r${i}`, opts),
    )
  }

  static create(opts: ClaimTableOptions): ClaimTable {
    return new ClaimTable({ ...DEFAULTS, ...opts })
  }

  get rangeCount(): number {
    return this.#ranges.length
  }

  /** Name of the range that a key belongs to. */
  rangeOf(key: string): string {
    return `r${this.#indexOf(key)}`
  }

  /** Claims a key. An unavailable verdict must be treated as not granted. */
  claim(request: ClaimRequest, timeoutMs?: number): Promise<ClaimVerdict> {
    const range = this.#ranges[this.#indexOf(request.key)]
    if (!range) return Promise.resolve({ type: 'unavailable' })
    return range.claim({ ...request, key: claimDigest(request.key) }, timeoutMs)
  }

  /** Queues a note on a claim for a later write of its range; the note may be lost. */
  note(key: string, holder: string, note: ClaimNote): void {
    this.#ranges[this.#indexOf(key)]?.note(claimDigest(key), holder, note)
  }

  close(): void {
    for (const range of this.#ranges) range.close()
  }

  #indexOf(key: string): number {
    return hash32(key) % this.#ranges.length
  }
}
