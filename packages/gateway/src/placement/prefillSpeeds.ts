/** How fast each model reads prompts, learned from first events. */
import type { Clock } from '@wagtailway/core'

/** Time a token of a prompt takes before anything is known, in milliseconds: 64 in one. */
const FIRST_GUESS_MS = 1 / 64

/** Weight of an observation that is faster than the average: nothing was ahead of it. */
const FASTER_WEIGHT = 0.3

/** Weight of one that is slower: something unknown may have been ahead of it. */
const SLOWER_WEIGHT = 0.05

/** Below this many tokens the fixed part of an answer's delay hides the reading. */
const LEAST_TOKENS = 1_000

/** Shortest length that is told from shorter ones, in tokens; each further one is double. */
const FIRST_LENGTH = 2_048

/** Lengths that are told apart; the last one has no end. */
const LENGTHS = 6

/** Part of the instances whose speed is below the one that counts: the others met queues. */
const LOWER_PART = 0.25

/** Time for which the speeds of all instances are not put together again, in milliseconds. */
const COMBINED_FOR_MS = 500

/** Milliseconds a token by length of what is before it; gaps where nothing was seen. */
export type SpeedsByContextLength = readonly (number | undefined)[]

/**
 * Learned reading speeds. A token takes longer the more tokens are before it, so speeds
 * are kept by how many there are. One instance sees few prompts of each length, and what
 * it takes for reading may be waiting, so a low quartile of all instances counts.
 *
 * @example
 * speeds.observe('small', 3_000, 60, 10_000)
 * speeds.msPerToken('small', 12_000) // 0.02
 */
export class PrefillSpeeds {
  readonly #own = new Map<string, (number | undefined)[]>()
  readonly #peers = new Map<string, ReadonlyMap<string, SpeedsByContextLength>>()
  #combined = new Map<string, SpeedsByContextLength>()
  #combinedAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PrefillSpeeds {
    return new PrefillSpeeds(clock)
  }

  /** Own speeds by model, for the report to others. */
  get own(): ReadonlyMap<string, SpeedsByContextLength> {
    return this.#own
  }

  /** Takes in the speeds that another instance has seen. */
  applyReport(peer: string, speeds: ReadonlyMap<string, SpeedsByContextLength>): void {
    this.#peers.set(peer, speeds)
  }

  /** Forgets instances that are not among those heard lately. */
  retainPeers(alive: ReadonlySet<string>): void {
    for (const peer of this.#peers.keys()) if (!alive.has(peer)) this.#peers.delete(peer)
  }

  /**
   * Milliseconds that one token of a prompt takes.
   *
   * @param before Tokens before it, on the mean.
   */
  msPerToken(model: string, before: number): number {
    this.#combine()
    const speeds = this.#combined.get(model)
    if (!speeds) return FIRST_GUESS_MS
    const shorter = speeds
      .slice(0, lengthOf(before) + 1)
      .findLast((ms) => ms !== undefined)
    return shorter ?? speeds.find((ms) => ms !== undefined) ?? FIRST_GUESS_MS
  }

  /**
   * Notes a first event.
   *
   * @param tokens Tokens that were read for it.
   * @param tookMs Time from the send to the first event, without what was known to be ahead.
   * @param before Tokens before each of them, on the mean.
   */
  observe(model: string, tokens: number, tookMs: number, before: number): void {
    if (tokens < LEAST_TOKENS || tookMs <= 0) return
    const seen = tookMs / tokens
    const speeds = this.#own.get(model) ?? []
    this.#own.set(model, speeds)
    const place = lengthOf(before)
    const old = speeds[place]
    const weight = old !== undefined && seen > old ? SLOWER_WEIGHT : FASTER_WEIGHT
    speeds[place] = old === undefined ? seen : old + weight * (seen - old)
  }

  #combine(): void {
    const now = this.clock()
    if (now - this.#combinedAtMs < COMBINED_FOR_MS) return
    this.#combinedAtMs = now
    const all = [this.#own, ...this.#peers.values()]
    const models = new Set(all.flatMap((speeds) => [...speeds.keys()]))
    this.#combined = new Map(
      [...models].map((model) => [
        model,
        Array.from({ length: LENGTHS }, (_, place) =>
          lowQuartile(all.map((speeds) => speeds.get(model)?.[place])),
        ),
      ]),
    )
  }
}

function lowQuartile(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter((ms) => ms !== undefined).toSorted((a, b) => a - b)
  return known[Math.floor(known.length * LOWER_PART)]
}

function lengthOf(tokens: number): number {
  if (tokens < FIRST_LENGTH) return 0
  return Math.min(LENGTHS - 1, 1 + Math.floor(Math.log2(tokens / FIRST_LENGTH)))
}
