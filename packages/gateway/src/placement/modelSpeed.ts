/** How fast each model reads prompts, learned from first events. */
import { DecayingAverage } from '@wagtailway/core'

/** Time a token of a prompt takes before anything is known, in milliseconds: 64 in one. */
const FIRST_GUESS_MS = 1 / 64

/** Weight of a new observation; some twenty answers settle it. */
const WEIGHT = 0.1

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
  readonly #byModel = new Map<string, DecayingAverage>()

  static create(): ModelSpeeds {
    return new ModelSpeeds()
  }

  /** Milliseconds that one token of a prompt takes. */
  msPerToken(model: string): number {
    return this.#byModel.get(model)?.value ?? FIRST_GUESS_MS
  }

  /** @param tokens Tokens that were ahead of the first event, its own among them. */
  observe(model: string, tokens: number, tookMs: number): void {
    if (tokens < LEAST_TOKENS) return
    const average = this.#byModel.get(model) ?? DecayingAverage.create(WEIGHT)
    average.add(tookMs / tokens)
    this.#byModel.set(model, average)
  }
}
