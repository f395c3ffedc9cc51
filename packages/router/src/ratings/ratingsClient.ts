/** Sends answers to the rating service and collects the ratings. */
import { Ticker } from '@wagtailway/core'
import { requestJson } from '@wagtailway/platform'
import { z } from 'zod'

const ratingListSchema = z.object({
  ratings: z.array(
    z.object({
      sequence: z.number(),
      classKey: z.string(),
      versionKey: z.string(),
      score: z.number(),
    }),
  ),
})

export type RatingSink = (classKey: string, versionKey: string, score: number) => void

export interface RatingsClientOptions {
  /** Base URL; without one nothing is rated. */
  readonly url: string | undefined
  readonly node: string
  readonly onRating: RatingSink
}

const TIMEOUT_MS = 2_000
const POLL_MS = 500

/**
 * Client of the rating service; its outages are ignored.
 *
 * @example
 * const ratings = RatingsClient.create({ url, node: 'n1', onRating })
 * ratings.request({ requestId, classKey, versionKey })
 */
export class RatingsClient {
  #after = 0
  readonly #ticker: Ticker | undefined

  private constructor(private readonly opts: RatingsClientOptions) {
    if (opts.url === undefined) return
    this.#ticker = Ticker.create({
      intervalMs: POLL_MS,
      step: () => this.#poll(),
      // A rating service that is away changes nothing but the age of the estimates.
      onError: () => undefined,
    })
  }

  static create(opts: RatingsClientOptions): RatingsClient {
    return new RatingsClient(opts)
  }

  /** Asks for a rating without waiting for it. */
  request(answer: { requestId: string; classKey: string; versionKey: string }): void {
    if (this.opts.url === undefined) return
    const body = { ...answer, node: this.opts.node }
    const url = `${this.opts.url}/v1/ratings`
    requestJson({ method: 'POST', url, body, timeoutMs: TIMEOUT_MS }).catch(
      () => undefined,
    )
  }

  async close(): Promise<void> {
    await this.#ticker?.close()
  }

  async #poll(): Promise<void> {
    const query = `node=${encodeURIComponent(this.opts.node)}&after=${this.#after}`
    const url = `${this.opts.url ?? ''}/v1/ratings?${query}`
    const res = await requestJson({ method: 'GET', url, timeoutMs: TIMEOUT_MS })
    if (res.status !== 200) return
    for (const rating of ratingListSchema.parse(res.body).ratings) {
      this.#after = Math.max(this.#after, rating.sequence)
      this.opts.onRating(rating.classKey, rating.versionKey, rating.score)
    }
  }
}
