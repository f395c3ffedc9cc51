/** How fast each model reads prompts, learned from first events. */
/** Time a token of a prompt takes before anything is known, in milliseconds: 64 in one. */
const FIRST_GUESS_MS = 1 / 64

/** Weight of an observation that is faster than the average: nothing was ahead of it. */
const FASTER_WEIGHT = 0.3

/** Weight of one that is slower: something unknown may have been ahead of it. */
const SLOWER_WEIGHT = 0.05

/** Below this many tokens the fixed part of an answer's delay hides the reading. */
const LEAST_TOKENS = 1_000

/**
 * Learned reading speeds.
 *
 * @example
 * speeds.observe('small', 3_000, 60)
 * speeds.msPerToken('small') // 0.02
 */
export class ModelSpeeds {
  readonly #byModel = new Map<string, number>()

  static create(): ModelSpeeds {
    return new ModelSpeeds()
  }

  /** Milliseconds that one token of a prompt takes. */
  msPerToken(model: string): number {
    return this.#byModel.get(model) ?? FIRST_GUESS_MS
  }

  /**
   * Notes a first event.
   *
   * @param tokens Tokens that were read for it.
   * @param tookMs Time from the send to the first event, without what was known to be ahead.
   */
  observe(model: string, tokens: number, tookMs: number): void {
    if (tokens < LEAST_TOKENS || tookMs <= 0) return
    const seen = tookMs / tokens
    const old = this.#byModel.get(model)
    const weight = old !== undefined && seen > old ? SLOWER_WEIGHT : FASTER_WEIGHT
    this.#byModel.set(model, old === undefined ? seen : old + weight * (seen - old))
  }
}
