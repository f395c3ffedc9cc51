/**
 * Which listed entry instances have recently claimed that they can't reach the platform.
 *
 * The age of a claim is measured on the clock of each node that holds it, and includes
 * the transit time. A node that knows enough recent claims may continue to serve during
 * an outage: every accepted change is held by so many listed members that at least one
 * of them is among the claimants, and the messages that carry the claims also carry the
 * newest known revision.
 */
import type { Clock } from '../clock.js'
import { hash32 } from '../hash.js'

/**
 * Share of the listed members that the claimants must exceed for nodes to serve in an
 * outage.
 */
export const OUTAGE_SHARE = 0.6

/**
 * Share of the listed members that must hold a revision before it counts as accepted.
 * The sum with {@link OUTAGE_SHARE} exceeds 1, so that the two sets overlap; the excess
 * allows for lists that differ between nodes.
 */
export const ACCEPTED_SHARE = 0.5

/** Unit of a claim's age in a message, in milliseconds. */
export const CLAIM_AGE_UNIT_MS = 50

/** Byte that stands for "no claim". */
const NO_CLAIM = 255

/** Claims as sent in messages. */
export interface OutageClaims {
  /**
   * Hash of the listed names that the positions stand for; zero if there are no claims.
   */
  readonly listKey: number
  /** Age of each listed member's claim, one byte each. */
  readonly ages: Uint8Array
}

export const NO_CLAIMS: OutageClaims = { listKey: 0, ages: new Uint8Array() }

export interface OutageTallyOptions {
  readonly self: string
  readonly clock: Clock
  /** Age beyond which a claim no longer counts, in milliseconds. */
  readonly maxAgeMs: number
}

/**
 * Claims of the listed members.
 *
 * @example
 * const tally = OutageTally.create({ self: 'n1', clock: monotonicClock, maxAgeMs: 10_000 })
 * tally.setListed(['n1', 'n2', 'n3'])
 * tally.claim()
 */
export class OutageTally {
  #listKey = 0
  #positions = new Map<string, number>()
  #claimedAtMs: number[] = []

  private constructor(private readonly opts: OutageTallyOptions) {}

  static create(opts: OutageTallyOptions): OutageTally {
    return new OutageTally(opts)
  }

  /**
   * Sets the names of all listed members; claims of members that remain listed are
   * retained.
   */
  setListed(names: readonly string[]): void {
    const sorted = [...new Set(names)].toSorted()
    const key = hash32(sorted.join()) || 1
    if (key === this.#listKey) return
    const previousClaims = new Map(
      [...this.#positions].map(([name, position]) => [name, this.#claimedAtMs[position]]),
    )
    this.#listKey = key
    this.#positions = new Map(sorted.map((name, position) => [name, position]))
    this.#claimedAtMs = sorted.map(
      (name) => previousClaims.get(name) ?? Number.NEGATIVE_INFINITY,
    )
  }

  /** Records that this node itself can't reach the platform now. */
  claim(): void {
    const position = this.#positions.get(this.opts.self)
    if (position !== undefined) this.#claimedAtMs[position] = this.opts.clock()
  }

  /**
   * Whether more than {@link OUTAGE_SHARE} of the listed members have claims that still
   * count.
   */
  get isOutage(): boolean {
    const oldestMs = this.opts.clock() - this.opts.maxAgeMs
    const claims = this.#claimedAtMs.filter((atMs) => atMs >= oldestMs).length
    return claims > this.#claimedAtMs.length * OUTAGE_SHARE
  }

  /** Claims that still count, to send to peers. */
  claims(): OutageClaims {
    const now = this.opts.clock()
    const ages = this.#claimedAtMs.map((atMs) => {
      const ageMs = now - atMs
      return ageMs > this.opts.maxAgeMs ? NO_CLAIM : Math.ceil(ageMs / CLAIM_AGE_UNIT_MS)
    })
    if (ages.every((age) => age >= NO_CLAIM)) return NO_CLAIMS
    return { listKey: this.#listKey, ages: Uint8Array.from(ages, clampAge) }
  }

  /** Merges claims that were sent at most `transitMs` ago. */
  receive({ listKey, ages }: OutageClaims, transitMs: number): void {
    if (listKey !== this.#listKey || ages.length !== this.#claimedAtMs.length) return
    const sentAtMs = this.opts.clock() - transitMs
    for (const [position, age] of ages.entries()) {
      if (age === NO_CLAIM) continue
      const claimedAtMs = sentAtMs - age * CLAIM_AGE_UNIT_MS
      this.#claimedAtMs[position] = Math.max(
        this.#claimedAtMs[position] ?? claimedAtMs,
        claimedAtMs,
      )
    }
  }
}

function clampAge(age: number): number {
  return Math.min(age, NO_CLAIM)
}
