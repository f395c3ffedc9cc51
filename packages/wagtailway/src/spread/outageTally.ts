/**
 * Who of the listed entry instances has lately said that it does not reach the platform.
 *
 * Each claim ages on the clock of whoever holds it, transit included. A node
 * that knows enough young claims may go on during an outage: any change that
 * was accepted is held by so many listed members that one of them is among the
 * claims, and its revision came along.
 */
import type { Clock } from '../clock.js'
import { hash32 } from '../hash.js'

/** Share of the listed members whose claims must be exceeded to go on in an outage. */
export const OUTAGE_SHARE = 0.6

/**
 * Share of the listed members that must hold a revision before it counts as accepted.
 * Together with {@link OUTAGE_SHARE} more than all, so that the two sets meet; the
 * rest allows for lists that differ between nodes.
 */
export const ACCEPTED_SHARE = 0.5

/** Unit of a claim's age in a message, in milliseconds. */
export const CLAIM_AGE_UNIT_MS = 50

/** Byte that stands for "no claim". */
const NO_CLAIM = 255

/** Claims as they travel. */
export interface OutageClaims {
  /** Hash of the listed names that the positions stand for; zero if there are none. */
  readonly listKey: number
  /** Age of each listed member's claim, one byte each. */
  readonly ages: Uint8Array
}

export const NO_CLAIMS: OutageClaims = { listKey: 0, ages: new Uint8Array() }

export interface OutageTallyOptions {
  readonly self: string
  readonly clock: Clock
  /** Age beyond which a claim no longer counts, in milliseconds. */
  readonly boundMs: number
}

/**
 * Claims of the listed members.
 *
 * @example
 * const tally = OutageTally.create({ self: 'n1', clock: monotonicClock, boundMs: 10_000 })
 * tally.setListed(['n1', 'n2', 'n3'])
 * tally.claim()
 */
export class OutageTally {
  #listKey = 0
  #position = new Map<string, number>()
  #claimedAtMs: number[] = []

  private constructor(private readonly opts: OutageTallyOptions) {}

  static create(opts: OutageTallyOptions): OutageTally {
    return new OutageTally(opts)
  }

  /** Takes over the names of all listed members. */
  setListed(names: readonly string[]): void {
    const sorted = [...new Set(names)].toSorted()
    const key = hash32(sorted.join()) || 1
    if (key === this.#listKey) return
    const before = new Map(
      [...this.#position].map(([name, at]) => [name, this.#claimedAtMs[at]]),
    )
    this.#listKey = key
    this.#position = new Map(sorted.map((name, at) => [name, at]))
    this.#claimedAtMs = sorted.map((name) => before.get(name) ?? Number.NEGATIVE_INFINITY)
  }

  /** Notes that this node itself does not reach the platform now. */
  claim(): void {
    const at = this.#position.get(this.opts.self)
    if (at !== undefined) this.#claimedAtMs[at] = this.opts.clock()
  }

  /** Whether young claims come from more than {@link OUTAGE_SHARE} of the listed members. */
  get isOutage(): boolean {
    const oldest = this.opts.clock() - this.opts.boundMs
    const claims = this.#claimedAtMs.filter((atMs) => atMs >= oldest).length
    return claims > this.#claimedAtMs.length * OUTAGE_SHARE
  }

  /** The claims that are young enough to be sent. */
  claims(): OutageClaims {
    const now = this.opts.clock()
    const ages = this.#claimedAtMs.map((atMs) => {
      const ageMs = now - atMs
      return ageMs > this.opts.boundMs ? NO_CLAIM : Math.ceil(ageMs / CLAIM_AGE_UNIT_MS)
    })
    if (ages.every((age) => age >= NO_CLAIM)) return NO_CLAIMS
    return { listKey: this.#listKey, ages: Uint8Array.from(ages, clampAge) }
  }

  /** Takes in claims that were sent at most `transitMs` ago. */
  receive({ listKey, ages }: OutageClaims, transitMs: number): void {
    if (listKey !== this.#listKey || ages.length !== this.#claimedAtMs.length) return
    const sentAtMs = this.opts.clock() - transitMs
    for (const [at, age] of ages.entries()) {
      if (age === NO_CLAIM) continue
      const claimedAtMs = sentAtMs - age * CLAIM_AGE_UNIT_MS
      this.#claimedAtMs[at] = Math.max(this.#claimedAtMs[at] ?? claimedAtMs, claimedAtMs)
    }
  }
}

function clampAge(age: number): number {
  return Math.min(age, NO_CLAIM)
}
