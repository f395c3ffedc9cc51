/** The load patterns of docs/hard-load.md, part 3, on a part of deployment B. */
import { evaluateCompletion } from '@wagtailway/gateway'
import { aggregateByZone } from './loadSharing.js'
import { runPromptLoad, type PromptRunOptions, type RequestEnd } from './promptRun.js'
import type { ModelSpec, PromptClass, PromptRequest } from './promptWorkload.js'

/** Engines of the simulated part; deployment B has 63. */
const ENGINES = 21
const FLEET_DIVISOR = 63 / ENGINES

/** Slowest and fastest engine, relative to the data sheet. */
const SPEED_FACTORS = [0.7, 1.7] as const

const MODELS: readonly ModelSpec[] = [
  { name: 'small', prefillFactor: 0.3, quality: 0.5 },
  { name: 'medium', prefillFactor: 0.8, quality: 0.75 },
  { name: 'large', prefillFactor: 3, quality: 1 },
]

/** Classes of deployment B, the most urgent first. */
export const HEAVY_CLASSES: readonly PromptClass[] = [
  heavyClass('high', 0, 73, [13_300, 3_720, 120], 2_000, 3.4),
  heavyClass('medium', 1, 55, [6_300, 2_890, 50], 2_000, 2.8),
  heavyClass('low', 2, 127, [350, 1_110, 170], 1_500, 0.31),
]

function heavyClass(
  name: string,
  priority: number,
  requestsPerSecond: number,
  [sharedTokens, ownTokens, outputTokens]: readonly [number, number, number],
  targetMs: number,
  credit: number,
): PromptClass {
  return {
    name,
    priority,
    credit,
    targetMs,
    lateCredit: 0.3 * credit,
    deadlineMs: 5 * targetMs,
    requestsPerSecond: requestsPerSecond / FLEET_DIVISOR,
    sharedPrefixes: Math.round(600 / FLEET_DIVISOR),
    sharedTokens,
    ownTokens,
    outputTokens,
  }
}

/** Speed of an engine relative to the data sheet. */
function speedOf(engine: number): number {
  const [slowest, fastest] = SPEED_FACTORS
  return slowest + ((engine % ENGINES) / (ENGINES - 1)) * (fastest - slowest)
}

/** A part of deployment B at its usual load. */
export const HEAVY_USUAL: PromptRunOptions = {
  classes: HEAVY_CLASSES,
  models: MODELS,
  engine: {
    slots: 64,
    kvCacheTokens: 654_960,
    stepMs: 4.23,
    prefillTokensPerMs: 61.2,
    chunkTokens: 2_048,
    attentionMs: 0.647,
  },
  engines: ENGINES,
  nodes: 8,
  zones: 4,
  durationMs: 15_000,
  countFromMs: 3_000,
  rateAt: () => 1,
  slowdownAt: (engine) => 1 / speedOf(engine),
  policy: { evaluate: evaluateCompletion },
  shareLoads: aggregateByZone,
  seed: 1,
}

/** What the requests of one group got. */
export interface GroupResult {
  readonly requests: number
  /** Fraction that was answered within the target, and at all. */
  readonly inTime: number
  readonly served: number
  /** Value earned as a fraction of the value of all. */
  readonly earned: number
  readonly value: number
}

/** Value of a request as the page states it, in which size counts. */
export function valueOf({ cls, parts, outputTokens }: PromptRequest): number {
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
  const meanSize = cls.sharedTokens + cls.ownTokens + 10 * cls.outputTokens
  const relative = 0.3 + 0.7 * ((promptTokens + 10 * outputTokens) / meanSize)
  return cls.credit * Math.min(4, relative)
}

/** Size of a request as the page states it. */
export function sizeOf({ parts, outputTokens }: PromptRequest): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0) + 10 * outputTokens
}

/** Sums up the ends of requests by group. */
export function groupEnds(
  ends: readonly RequestEnd[],
  keyOf: (end: RequestEnd) => string,
): Map<string, GroupResult> {
  const groups = new Map<string, RequestEnd[]>()
  for (const end of ends) {
    const group = groups.get(keyOf(end)) ?? []
    group.push(end)
    groups.set(keyOf(end), group)
  }
  return new Map(
    [...groups].map(([key, group]) => {
      const value = group.reduce((sum, { req }) => sum + valueOf(req), 0)
      const count = (results: readonly string[]): number =>
        group.filter(({ result }) => results.includes(result)).length / group.length
      const earned = group.reduce((sum, e) => sum + valueOf(e.req) * e.creditShare, 0)
      return [
        key,
        {
          requests: group.length,
          inTime: count(['in_time']),
          served: count(['in_time', 'late']),
          earned: earned / value,
          value,
        },
      ]
    }),
  )
}

/** Runs a load pattern; returns how each counted request ended. */
export function runHeavyLoad(changes: Partial<PromptRunOptions>): {
  readonly ends: readonly RequestEnd[]
  readonly prefillFraction: number
} {
  const ends: RequestEnd[] = []
  const opts = { ...HEAVY_USUAL, ...changes }
  const { prefillFraction } = runPromptLoad({ ...opts, onEnd: (end) => ends.push(end) })
  return { ends, prefillFraction }
}

/**
 * Rate of the least urgent class alone, as a multiple of its usual one, at which the engines
 * are at their capacity: of 1,693 requests a second, 0.96 were served, of 3,387 only 0.55.
 */
const LOW_CAPACITY_FACTOR = 40

/** The least urgent class offers a multiple of the capacity, the others their usual load. */
export function lowOverload(factor: number): Partial<PromptRunOptions> {
  return {
    classes: HEAVY_CLASSES.map((cls, i) => ({
      ...cls,
      requestsPerSecond:
        cls.requestsPerSecond * (i === 2 ? factor * LOW_CAPACITY_FACTOR : 1),
    })),
  }
}

/** Workspaces with equal loads, of which the first sends a multiple of its usual load. */
export function hotWorkspace(
  workspaces: number,
  factor: number,
): Partial<PromptRunOptions> {
  const classes = Array.from({ length: workspaces }, (_, w) =>
    HEAVY_CLASSES.map((cls) => ({
      ...cls,
      name: `${cls.name}-w${w}`,
      workspace: `w${w}`,
      requestsPerSecond: (cls.requestsPerSecond / workspaces) * (w === 0 ? factor : 1),
      sharedPrefixes: Math.ceil(cls.sharedPrefixes / workspaces),
    })),
  )
  return { classes: classes.flat().toReversed() }
}

/** Demand of each zone rises and falls by 55 % in 17 s, out of phase. */
export function zoneWaves(rate: number): Partial<PromptRunOptions> {
  const zones = HEAVY_USUAL.zones ?? 1
  return {
    rateAt: () => rate,
    zoneWeightAt: (zone, atMs) =>
      1 + 0.55 * Math.sin(2 * Math.PI * (atMs / 17_000 + zone / zones)),
  }
}

/** A tenth of all prompts has 50,000 tokens. */
export function longPrompts(rate: number): Partial<PromptRunOptions> {
  return {
    rateAt: () => rate,
    changeRequest: (req, i) =>
      i % 10 === 0
        ? { ...req, parts: [...req.parts.slice(0, -1), { id: 'own', tokens: 50_000 }] }
        : req,
  }
}

/** The same load for each engine of a part that is larger by a factor, at most 3. */
export function scaleFleet(
  changes: Partial<PromptRunOptions>,
  factor: number,
): Partial<PromptRunOptions> {
  const { classes = HEAVY_CLASSES } = changes
  return {
    ...changes,
    engines: ENGINES * factor,
    classes: classes.map((cls) => ({
      ...cls,
      requestsPerSecond: cls.requestsPerSecond * factor,
      sharedPrefixes: cls.sharedPrefixes * factor,
    })),
  }
}
