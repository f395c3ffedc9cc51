/** Requests with long shared prompts, as in the users' data sheets. */
import type { Random } from '@wagtailway/core'
import type { EngineSpec, PromptPart } from './engineModel.js'

/** A class of requests; token counts are means. */
export interface PromptClass {
  readonly name: string
  /** Workspace of all its requests; all without one are of the same. */
  readonly workspace?: string
  /** Mean arrival rate. */
  readonly requestsPerSecond: number
  /** Credit of a response within the target, and of a later one within the deadline. */
  readonly credit: number
  readonly lateCredit: number
  /** Zero is the most urgent. */
  readonly priority: number
  readonly targetMs: number
  readonly deadlineMs: number
  /** Number of different prefixes that requests of the class share. */
  readonly sharedPrefixes: number
  readonly sharedTokens: number
  readonly ownTokens: number
  readonly outputTokens: number
}

/** A model that the engines serve. */
export interface ModelSpec {
  readonly name: string
  /** Prefill time relative to a model with factor 1. */
  readonly prefillFactor: number
  /** Probability that an output is good. */
  readonly quality: number
}

/** A request as it arrives. */
export interface PromptRequest {
  readonly cls: PromptClass
  readonly atMs: number
  readonly parts: readonly PromptPart[]
  readonly outputTokens: number
  /** From 0 to 1; a model whose quality is at least this gives a good output. */
  readonly difficulty: number
}

/** Engine of the users' data sheets. */
export const SHEET_ENGINE: EngineSpec = {
  slots: 64,
  kvCacheTokens: 582_550,
  stepMs: 4.23,
  prefillTokensPerMs: 64.2,
  chunkTokens: 2_048,
  attentionMs: 0.647,
}

/** Models of the users' data sheets, smallest first. */
export const SHEET_MODELS: readonly ModelSpec[] = [
  { name: 'small', prefillFactor: 0.3, quality: 0.5 },
  { name: 'large', prefillFactor: 3, quality: 1 },
]

/** Gebeta's request classes after growth, for 42 engines. */
export const GEBETA_GROWN: readonly PromptClass[] = [
  {
    name: 'panel-dossier',
    requestsPerSecond: 41.8,
    credit: 4.9,
    lateCredit: 1.5,
    priority: 0,
    targetMs: 3_027,
    deadlineMs: 15_136,
    sharedPrefixes: 641,
    sharedTokens: 13_300,
    ownTokens: 3_720,
    outputTokens: 120,
  },
  {
    name: 'appeal-review',
    requestsPerSecond: 35.4,
    credit: 1.6,
    lateCredit: 0.49,
    priority: 1,
    targetMs: 4_019,
    deadlineMs: 10_048,
    sharedPrefixes: 542,
    sharedTokens: 6_300,
    ownTokens: 2_890,
    outputTokens: 50,
  },
  {
    name: 'clerk-note',
    requestsPerSecond: 91.5,
    credit: 0.25,
    lateCredit: 0.076,
    priority: 2,
    targetMs: 4_011,
    deadlineMs: 20_056,
    sharedPrefixes: 625,
    sharedTokens: 350,
    ownTokens: 1_110,
    outputTokens: 170,
  },
]

/** Rates and prefixes of Gebeta's classes in the fleet of hundreds, for 55 engines. */
const LARGE_SIZES = [
  { requestsPerSecond: 54.3, sharedPrefixes: 833 },
  { requestsPerSecond: 46, sharedPrefixes: 705 },
  { requestsPerSecond: 119, sharedPrefixes: 812 },
]

/** Gebeta's request classes in the fleet of hundreds, for 55 engines. */
export const GEBETA_LARGE: readonly PromptClass[] = GEBETA_GROWN.map((cls, i) => ({
  ...cls,
  ...LARGE_SIZES[i],
}))

/** Standard deviation of the logarithm of a token count's random factor. */
const LOG_STANDARD_DEVIATION = 0.8

/** Bounds of the random factor. */
const MIN_FACTOR = 0.2
const MAX_FACTOR = 5

/**
 * Generates the random requests of a run, in order of arrival.
 *
 * @param rateAt Factor of the mean request rate by time, such as 1.4 in a burst.
 *
 * @example
 * generateRequests(GEBETA_GROWN, 20_000, () => 1, seededRandom(1))
 */
export function generateRequests(
  classes: readonly PromptClass[],
  durationMs: number,
  rateAt: (atMs: number) => number,
  random: Random,
): PromptRequest[] {
  const factor = (): number => {
    const normal =
      Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    const logNormal = Math.exp(
      LOG_STANDARD_DEVIATION * normal - LOG_STANDARD_DEVIATION ** 2 / 2,
    )
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, logNormal))
  }
  const requests: PromptRequest[] = []
  for (const cls of classes) {
    const prefixes = Array.from({ length: cls.sharedPrefixes }, (_, i) => ({
      id: `${cls.name}-${i}`,
      tokens: Math.round(cls.sharedTokens * factor()),
    }))
    let atMs = 0
    for (;;) {
      atMs += (-Math.log(1 - random()) * 1_000) / (cls.requestsPerSecond * rateAt(atMs))
      if (atMs >= durationMs) break
      const prefix = prefixes[Math.floor(random() * prefixes.length)] ?? {
        id: '',
        tokens: 0,
      }
      requests.push({
        cls,
        atMs,
        parts: [prefix, { id: 'own', tokens: Math.round(cls.ownTokens * factor()) }],
        outputTokens: Math.max(5, Math.round(cls.outputTokens * factor())),
        difficulty: random(),
      })
    }
  }
  return requests.toSorted((a, b) => a.atMs - b.atMs)
}
