/** Runs callers against entry instances and replicas in virtual time. */
import { seededRandom, type Random, type Refusal } from '@wagtailway/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { ModelRequest, NodeFactory, NodeModel } from './nodeModels.js'
import { ReplicaModel } from './replicaModel.js'
import { VirtualTime } from './virtualTime.js'

/** One stream of callers. */
export interface LoadClass {
  readonly workspace: string
  readonly share: number
  readonly priority: number
  /** Mean requests a second, by time. */
  readonly rate: (nowMs: number) => number
}

export interface LoadRunOptions {
  readonly createNode: NodeFactory
  readonly classes: readonly LoadClass[]
  readonly nodes: number
  readonly replicas: number
  readonly seed: number
  /** Time that counts, in milliseconds. */
  readonly durationMs: number
  /** Time before it, for the windows to settle, in milliseconds. */
  readonly warmUpMs: number
  /**
   * Repeats of a refused or late request by its caller.
   * @default 0
   */
  readonly callerRetries?: number
  /**
   * Whether callers wait as long as a refusal says.
   * @default true
   */
  readonly honourRetryAfter?: boolean
}

/** What one class got. */
export interface ClassOutcome {
  offered: number
  /** Answered with the first token in time. */
  good: number
  late: number
  refused: number
  readonly firstToken: Histogram
  /** Good answers by second of the arrival. */
  readonly goodBySecond: Map<number, number>
}

export const LOAD_MODEL = {
  slots: 32,
  prefillMs: 50,
  betweenTokensMs: 20,
  meanTokens: 200,
  firstTokenTargetMs: 1_000,
  reportIntervalMs: 500,
  reportLagMs: 1_000,
} as const

const MS_PER_SECOND = 1_000

/** A caller asks again after this time if nothing tells it when, in milliseconds. */
const IMPATIENT_MS = 100

/** Requests a second that `replicas` can serve. */
export function capacityOf(replicas: number): number {
  const { slots, prefillMs, meanTokens, betweenTokensMs } = LOAD_MODEL
  const holdMs = prefillMs + meanTokens * betweenTokensMs
  return (replicas * slots * MS_PER_SECOND) / holdMs
}

/**
 * Runs one experiment.
 *
 * @example
 * const outcomes = runLoad({ createNode: pooled(policy), classes, nodes: 8, ... })
 */
export function runLoad(opts: LoadRunOptions): ClassOutcome[] {
  const time = VirtualTime.create()
  const random = seededRandom(opts.seed)
  const replicas = Array.from({ length: opts.replicas }, (_, i) =>
    ReplicaModel.create(time, { id: `e${i}`, ...LOAD_MODEL }),
  )
  const nodes = Array.from({ length: opts.nodes }, (_, i) =>
    opts.createNode({ time, random: seededRandom(opts.seed * 1_000 + i), replicas }),
  )
  spreadReports(time, replicas, nodes)
  const outcomes = opts.classes.map((cls) => {
    const outcome = newOutcome()
    const callers = { time, random, nodes, opts, cls, outcome }
    scheduleArrival(callers)
    return outcome
  })
  time.runUntil(opts.warmUpMs + opts.durationMs + LOAD_MODEL.firstTokenTargetMs * 10)
  return outcomes
}

interface Callers {
  readonly time: VirtualTime
  readonly random: Random
  readonly nodes: readonly NodeModel[]
  readonly opts: LoadRunOptions
  readonly cls: LoadClass
  readonly outcome: ClassOutcome
}

function scheduleArrival(callers: Callers): void {
  const { time, random, opts, cls } = callers
  const rate = cls.rate(time.now())
  const gapMs = (-Math.log(1 - random()) / Math.max(rate, 0.01)) * MS_PER_SECOND
  time.after(gapMs, () => {
    if (time.now() > opts.warmUpMs + opts.durationMs) return
    const tokens = Math.ceil(-Math.log(1 - random()) * LOAD_MODEL.meanTokens)
    const { firstTokenTargetMs } = LOAD_MODEL
    const request = { ...cls, firstTokenTargetMs, tokens }
    const counts = time.now() >= opts.warmUpMs
    if (counts) callers.outcome.offered += 1
    attempt(callers, request, time.now(), counts, opts.callerRetries ?? 0)
    scheduleArrival(callers)
  })
}

/** One attempt of a caller; each attempt counts its own time to the first token. */
function attempt(
  callers: Callers,
  request: ModelRequest,
  arrivedMs: number,
  counts: boolean,
  retries: number,
): void {
  const { time, random, nodes, opts, outcome } = callers
  const node = nodes[Math.floor(random() * nodes.length)]
  const sentMs = time.now()
  let settled = false
  const again = (waitMs: number): void => {
    time.after(waitMs, () => {
      attempt(callers, request, arrivedMs, counts, retries - 1)
    })
  }
  if (retries > 0) {
    // An impatient caller asks again while its first request is still running.
    time.after(request.firstTokenTargetMs, () => {
      if (settled) return
      settled = true
      again(IMPATIENT_MS)
    })
  }
  node?.submit(request, {
    onFirstToken: () => {
      if (settled) return
      settled = true
      if (counts) countFirstToken(outcome, request, time.now() - sentMs, arrivedMs)
    },
    onDone: () => undefined,
    onRefused: (refusal) => {
      if (settled) return
      settled = true
      if (retries > 0) again(retryWaitMs(opts, refusal))
      else if (counts) outcome.refused += 1
    },
  })
}

function retryWaitMs(opts: LoadRunOptions, refusal: Refusal): number {
  if (opts.honourRetryAfter === false) return IMPATIENT_MS
  return refusal.retryAfterMs ?? IMPATIENT_MS
}

function countFirstToken(
  outcome: ClassOutcome,
  request: ModelRequest,
  firstTokenMs: number,
  arrivedMs: number,
): void {
  outcome.firstToken.recordValue(Math.max(1, Math.round(firstTokenMs)))
  if (firstTokenMs > request.firstTokenTargetMs) {
    outcome.late += 1
    return
  }
  outcome.good += 1
  const second = Math.floor(arrivedMs / MS_PER_SECOND)
  outcome.goodBySecond.set(second, (outcome.goodBySecond.get(second) ?? 0) + 1)
}

/** Nodes see each replica's load as it was some time ago. */
function spreadReports(
  time: VirtualTime,
  replicas: readonly ReplicaModel[],
  nodes: readonly NodeModel[],
): void {
  const { reportIntervalMs, reportLagMs } = LOAD_MODEL
  time.every(reportIntervalMs, () => {
    const loads = replicas.map(({ load }) => load)
    time.after(reportLagMs, () => {
      for (const node of nodes) {
        replicas.forEach(({ spec }, i) => {
          node.report(spec.id, loads[i] ?? 0, reportLagMs)
        })
      }
    })
  })
}

function newOutcome(): ClassOutcome {
  return {
    offered: 0,
    good: 0,
    late: 0,
    refused: 0,
    firstToken: build(),
    goodBySecond: new Map(),
  }
}
