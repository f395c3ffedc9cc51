/** Prefill speed of each model, learned from the time to the first event of streams. */
import type { Clock } from '@wagtailway/core'
import { lowerQuartile, type SharedSpeeds } from '../loads/loadSums.js'

/** Prefill time per token before any observation, in milliseconds: 64 tokens per millisecond. */
const DEFAULT_MS_PER_TOKEN = 1 / 64

/** Slowest speed that counts, in milliseconds per token. */
export const MAX_MS_PER_TOKEN = 1_000

/** Weight of an observation below the moving average: no queue delayed it. */
const FASTER_WEIGHT = 0.3

/** Weight of an observation above it: unknown requests may have been ahead in the queue. */
const SLOWER_WEIGHT = 0.05

/**
 * Minimum prefilled tokens of an observation. With fewer, the fixed delay of a response
 * dominates the prefill time.
 */
const MIN_TOKENS = 1_000

/** Lower bound of the second context length bucket, in tokens; it doubles with each bucket. */
const FIRST_BUCKET_TOKENS = 2_048

/** Number of context length buckets; the last one has no upper bound. */
const BUCKET_COUNT = 6

/**
 * Maximum number of models that this instance keeps speeds of, those observed longest ago go
 * first, and the longest name of one: callers name them, and a report has to fit a datagram.
 */
const MAX_MODELS = 64
const MAX_NAME_LENGTH = 200

/** Minimum interval between combining the speeds of all instances, in milliseconds. */
const COMBINE_INTERVAL_MS = 500

/** Age at which the speeds of the fleet expire, in milliseconds. */
const FLEET_TTL_MS = 20_000

/** Milliseconds per token by context length bucket; `undefined` without observations. */
export type SpeedsByContextLength = readonly (number | undefined)[]

/**
 * Learned prefill speeds. A token takes longer the more tokens precede it, so speeds are
 * tracked per context length bucket. One instance observes few prompts of each length, and
 * its measurements may include time in a queue, so the lower quartile of all instances'
 * values is used.
 *
 * @example
 * speeds.observe('small', 3_000, 60, 10_000)
 * speeds.msPerToken('small', 12_000) // 0.02
 */
export class PrefillSpeeds {
  readonly #localSpeeds = new Map<string, (number | undefined)[]>()
  readonly #peerSpeeds = new Map<string, ReadonlyMap<string, SpeedsByContextLength>>()
  #combined = new Map<string, SpeedsByContextLength>()
  #fleetSpeeds: SharedSpeeds = new Map()
  #fleetSpeedsAtMs = Number.NEGATIVE_INFINITY
  #combinedAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PrefillSpeeds {
    return new PrefillSpeeds(clock)
  }

  /** Speeds by model that this instance observed, for its reports to peers. */
  get localSpeeds(): ReadonlyMap<string, SpeedsByContextLength> {
    return this.#localSpeeds
  }

  /** Stores the speeds that another instance observed. */
  applyReport(peer: string, speeds: ReadonlyMap<string, SpeedsByContextLength>): void {
    this.#peerSpeeds.set(peer, speeds)
  }

  /** Replaces the speeds that all instances agree on. */
  applyFleet(speeds: SharedSpeeds): void {
    this.#fleetSpeeds = speeds
    this.#fleetSpeedsAtMs = this.clock()
  }

  /** Removes the speeds of all instances that are not alive. */
  retainPeers(alive: ReadonlySet<string>): void {
    for (const peer of this.#peerSpeeds.keys())
      if (!alive.has(peer)) this.#peerSpeeds.delete(peer)
  }

  /**
   * Estimated prefill time of one prompt token, in milliseconds. Without observations of
   * this context length, uses the nearest shorter length, else the shortest observed one.
   *
   * @param precedingTokens Mean number of prompt tokens before it.
   */
  msPerToken(model: string, precedingTokens: number): number {
    this.#combine()
    const speeds = this.#combined.get(model)
    if (!speeds) return DEFAULT_MS_PER_TOKEN
    const sameOrShorter = speeds
      .slice(0, bucketOf(precedingTokens) + 1)
      .findLast((ms) => ms !== undefined)
    return sameOrShorter ?? speeds.find((ms) => ms !== undefined) ?? DEFAULT_MS_PER_TOKEN
  }

  /**
   * Records the prefill time of a stream whose first event arrived.
   *
   * @param tokens Prompt tokens that were prefilled.
   * @param tookMs Time from sending to the first event, less the known wait in the queue.
   * @param precedingTokens Mean number of prompt tokens before each prefilled one.
   */
  observe(model: string, tokens: number, tookMs: number, precedingTokens: number): void {
    if (tokens < MIN_TOKENS || tookMs <= 0 || model.length > MAX_NAME_LENGTH) return
    const observedMs = Math.min(MAX_MS_PER_TOKEN, tookMs / tokens)
    const speeds = this.#localSpeeds.get(model) ?? []
    this.#localSpeeds.delete(model)
    this.#localSpeeds.set(model, speeds)
    for (const oldest of this.#localSpeeds.keys()) {
      if (this.#localSpeeds.size <= MAX_MODELS) break
      this.#localSpeeds.delete(oldest)
    }
    const bucket = bucketOf(precedingTokens)
    const averageMs = speeds[bucket]
    const weight =
      averageMs !== undefined && observedMs > averageMs ? SLOWER_WEIGHT : FASTER_WEIGHT
    speeds[bucket] =
      averageMs === undefined ? observedMs : averageMs + weight * (observedMs - averageMs)
  }

  #combine(): void {
    const now = this.clock()
    if (now - this.#combinedAtMs < COMBINE_INTERVAL_MS) return
    this.#combinedAtMs = now
    const allSpeeds = [this.#localSpeeds, ...this.#peerSpeeds.values()]
    const isFleetRecent = now - this.#fleetSpeedsAtMs < FLEET_TTL_MS
    const fleetSpeeds: SharedSpeeds = isFleetRecent ? this.#fleetSpeeds : new Map()
    const models = new Set(
      [...allSpeeds, fleetSpeeds].flatMap((speeds) => [...speeds.keys()]),
    )
    this.#combined = new Map(
      [...models].map((model) => [
        model,
        Array.from(
          { length: BUCKET_COUNT },
          (_, bucket) =>
            fleetSpeeds.get(model)?.[bucket]?.msPerToken ??
            lowerQuartile(
              allSpeeds.flatMap((speeds) => speeds.get(model)?.[bucket] ?? []),
            ),
        ),
      ]),
    )
  }
}

function bucketOf(tokens: number): number {
  if (tokens < FIRST_BUCKET_TOKENS) return 0
  return Math.min(
    BUCKET_COUNT - 1,
    1 + Math.floor(Math.log2(tokens / FIRST_BUCKET_TOKENS)),
  )
}
