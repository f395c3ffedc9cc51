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
  /** Target of the time to the first token, in milliseconds. */
  readonly firstTokenTargetMs: number
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
  /** Runs at a replica, those for callers that had gone included. */
  runs: number
  /** Runs whose caller had given up before the first token. */
  vain: number
  readonly firstToken: Histogram
  /** Requests by second of the arrival. */
  readonly offeredBySecond: Map<number, number>
  /** Good answers by second of the first token. */
  readonly goodBySecond: Map<number, number>
}

export const LOAD_MODEL = {
  slots: 32,
  prefillMs: 50,
  betweenTokensMs: 20,
  meanTokens: 200,
  reportIntervalMs: 500,
  reportLagMs: 1_000,
} as const

const MS_PER_SECOND = 1_000

/** Time after the last arrival in which answers still count, in milliseconds. */
const SETTLE_MS = 10_000

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
  time.runUntil(opts.warmUpMs + opts.durationMs + SETTLE_MS)
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
    const request = { ...cls, tokens }
    const counts = time.now() >= opts.warmUpMs
    if (counts) {
      callers.outcome.offered += 1
      countSecond(callers.outcome.offeredBySecond, time.now())
    }
    attempt(callers, request, counts, opts.callerRetries ?? 0)
    scheduleArrival(callers)
  })
}

/** One attempt of a caller; each attempt counts its own time to the first token. */
function attempt(
  callers: Callers,
  request: ModelRequest,
  counts: boolean,
  retries: number,
): void {
  const { time, random, nodes, opts, outcome } = callers
  const node = nodes[Math.floor(random() * nodes.length)]
  const sentMs = time.now()
  let settled = false
  const again = (waitMs: number): void => {
    time.after(waitMs, () => {
      attempt(callers, request, counts, retries - 1)
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
      if (counts) outcome.runs += 1
      if (settled) {
        if (counts) outcome.vain += 1
        return
      }
      settled = true
      if (counts) countFirstToken(outcome, request, sentMs, time.now())
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
  sentMs: number,
  nowMs: number,
): void {
  const firstTokenMs = nowMs - sentMs
  outcome.firstToken.recordValue(Math.max(1, Math.round(firstTokenMs)))
  if (firstTokenMs > request.firstTokenTargetMs) {
    outcome.late += 1
    return
  }
  outcome.good += 1
  countSecond(outcome.goodBySecond, nowMs)
}

function countSecond(counts: Map<number, number>, atMs: number): void {
  const second = Math.floor(atMs / MS_PER_SECOND)
  counts.set(second, (counts.get(second) ?? 0) + 1)
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
    runs: 0,
    vain: 0,
    firstToken: build(),
    offeredBySecond: new Map(),
    goodBySecond: new Map(),
  }
}
