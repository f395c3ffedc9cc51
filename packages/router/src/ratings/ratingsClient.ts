/** Requests ratings of responses from the rating service and collects them. */
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

export type RatingHandler = (classKey: string, versionKey: string, score: number) => void

export interface RatingsClientOptions {
  /** Base URL of the rating service; if undefined, nothing is rated. */
  readonly url: string | undefined
  readonly node: string
  readonly onRating: RatingHandler
}

const REQUEST_TIMEOUT_MS = 2_000
const POLL_MS = 500

/**
 * Client of the rating service; its outages are ignored.
 *
 * @example
 * const ratings = RatingsClient.create({ url, node: 'n1', onRating })
 * ratings.request({ requestId, classKey, versionKey })
 */
export class RatingsClient {
  #lastSequence = 0
  readonly #ticker: Ticker | undefined

  private constructor(private readonly opts: RatingsClientOptions) {
    if (opts.url === undefined) return
    this.#ticker = Ticker.create({
      intervalMs: POLL_MS,
      step: () => this.#poll(),
      // While the rating service is unavailable, the estimates only grow older.
      onError: () => undefined,
    })
  }

  static create(opts: RatingsClientOptions): RatingsClient {
    return new RatingsClient(opts)
  }

  /** Requests a rating of a response without waiting for it. */
  request(response: { requestId: string; classKey: string; versionKey: string }): void {
    if (this.opts.url === undefined) return
    const body = { ...response, node: this.opts.node }
    const url = `${this.opts.url}/v1/ratings`
    requestJson({ method: 'POST', url, body, timeoutMs: REQUEST_TIMEOUT_MS }).catch(
      () => undefined,
    )
  }

  async close(): Promise<void> {
    await this.#ticker?.close()
  }

  async #poll(): Promise<void> {
    const query = `node=${encodeURIComponent(this.opts.node)}&after=${this.#lastSequence}`
    const url = `${this.opts.url ?? ''}/v1/ratings?${query}`
    const res = await requestJson({ method: 'GET', url, timeoutMs: REQUEST_TIMEOUT_MS })
    if (res.status !== 200) return
    for (const rating of ratingListSchema.parse(res.body).ratings) {
      this.#lastSequence = Math.max(this.#lastSequence, rating.sequence)
      this.opts.onRating(rating.classKey, rating.versionKey, rating.score)
    }
  }
}
