/** Stand-in for the rating service: ratings are delayed and noisy, outages can be set. */
import { seededRandom, type Random } from '@wagtailway/core'
import { z } from 'zod'
import { JsonServer, sendJson, type RouteCall } from '../http/jsonServer.js'

export const ratingsFaultsSchema = z.object({
  outage: z.boolean(),
  /** Delay after which a rating becomes visible, in milliseconds. */
  delayMs: z.number().nonnegative(),
})

export type RatingsFaults = z.infer<typeof ratingsFaultsSchema>

export const ratingRequestSchema = z.object({
  requestId: z.string(),
  node: z.string(),
  classKey: z.string(),
  versionKey: z.string(),
})

export type RatingRequest = z.infer<typeof ratingRequestSchema>

export interface Rating extends RatingRequest {
  readonly sequence: number
  /** Quality in [0, 1]. */
  readonly score: number
}

const DEFAULT_QUALITY = 0.8
const MAX_NOISE = 0.1

/**
 * Rates responses by the true quality that a test sets for each version, plus noise.
 *
 * @example
 * const ratings = await RatingsStandin.create({ port: 0, seed: 1 })
 * ratings.setQuality('summariser@v2', 0.4)
 */
export class RatingsStandin {
  readonly #qualityByVersion = new Map<string, number>()
  readonly #ratings: { rating: Rating; atMs: number }[] = []
  readonly #random: Random
  #faults: RatingsFaults = { outage: false, delayMs: 100 }
  #server: JsonServer | undefined

  private constructor(seed: number) {
    this.#random = seededRandom(seed)
  }

  static async create(opts: { port: number; seed: number }): Promise<RatingsStandin> {
    const standin = new RatingsStandin(opts.seed)
    standin.#server = await JsonServer.create({
      port: opts.port,
      routes: [
        {
          method: 'POST',
          pattern: /^\/v1\/ratings$/,
          handle: (call) => {
            standin.#rate(call)
          },
        },
        {
          method: 'GET',
          pattern: /^\/v1\/ratings$/,
          handle: (call) => {
            standin.#list(call)
          },
        },
        {
          method: 'POST',
          pattern: /^\/admin\/faults$/,
          handle: ({ res, body }) => {
            standin.setFaults(ratingsFaultsSchema.partial().parse(JSON.parse(body)))
            sendJson(res, 200, standin.#faults)
          },
        },
        {
          method: 'PUT',
          pattern: /^\/admin\/quality\/([^/]+)$/,
          handle: ({ res, params, body }) => {
            standin.setQuality(params[0] ?? '', Number(body))
            sendJson(res, 200, {})
          },
        },
      ],
    })
    return standin
  }

  get url(): string {
    return this.#server?.url ?? ''
  }

  setFaults(faults: Partial<RatingsFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  /** Sets the true quality, in [0, 1], of a version for all classes. */
  setQuality(versionKey: string, quality: number): void {
    this.#qualityByVersion.set(versionKey, quality)
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #rate({ res, body }: RouteCall): void {
    if (this.#faults.outage) {
      sendJson(res, 503, { error: 'outage' })
      return
    }
    const request = ratingRequestSchema.parse(JSON.parse(body))
    const quality = this.#qualityByVersion.get(request.versionKey) ?? DEFAULT_QUALITY
    const noisyQuality = quality + (this.#random() * 2 - 1) * MAX_NOISE
    const score = Math.min(1, Math.max(0, noisyQuality))
    const rating = { ...request, sequence: this.#ratings.length + 1, score }
    this.#ratings.push({ rating, atMs: Date.now() })
    sendJson(res, 202, {})
  }

  #list({ res, url }: RouteCall): void {
    if (this.#faults.outage) {
      sendJson(res, 503, { error: 'outage' })
      return
    }
    const node = url.searchParams.get('node')
    const after = Number(url.searchParams.get('after') ?? '0')
    const latestMs = Date.now() - this.#faults.delayMs
    const visible = this.#ratings
      .slice(after)
      .filter(({ rating, atMs }) => rating.node === node && atMs <= latestMs)
    sendJson(res, 200, { ratings: visible.map(({ rating }) => rating) })
  }
}
