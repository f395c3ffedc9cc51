/** Pauses between the events of one stream. */

/** Pauses that are kept of one stream; more say nothing new about its server. */
const MOST_KEPT = 256

/** One pause in so many counts as quick: single ones are short when events arrive together. */
const QUICK_PART = 10

/** Pauses from which a stream tells how fast its server is. */
const LEAST_PAUSES = 3

/**
 * Notes when events came.
 *
 * @example
 * const pauses = Pauses.create()
 * pauses.note(1_000)
 * pauses.note(1_020)
 * pauses.meanMs // 20
 */
export class Pauses {
  readonly #pausesMs: number[] = []
  #firstAtMs = 0
  #lastAtMs = 0
  #events = 0

  static create(): Pauses {
    return new Pauses()
  }

  /** Notes an event that came at this moment, on the monotonic clock. */
  note(atMs: number): void {
    if (this.#events === 0) this.#firstAtMs = atMs
    else if (this.#pausesMs.length < MOST_KEPT) this.#pausesMs.push(atMs - this.#lastAtMs)
    this.#lastAtMs = atMs
    this.#events += 1
  }

  /** Mean pause in milliseconds, `undefined` before the second event. */
  get meanMs(): number | undefined {
    if (this.#events < 2) return undefined
    return (this.#lastAtMs - this.#firstAtMs) / (this.#events - 1)
  }

  /**
   * The pause that a tenth of the pauses stay below, in milliseconds: what the server
   * needs for an event when it reads no other prompt meanwhile. `undefined` for streams
   * too short to tell.
   */
  get quickMs(): number | undefined {
    if (this.#pausesMs.length < LEAST_PAUSES) return undefined
    const sorted = this.#pausesMs.toSorted((a, b) => a - b)
    return sorted[Math.floor(sorted.length / QUICK_PART)]
  }
}
