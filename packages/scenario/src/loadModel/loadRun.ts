/** Simulates callers, entry instances and replicas in virtual time. */
import { seededRandom, type Random, type Refusal } from '@wagtailway/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { ModelRequest, NodeFactory, NodeModel } from './nodeModels.js'
import { ReplicaModel } from './replicaModel.js'
import { VirtualTime } from './virtualTime.js'

/** A class of requests, which arrive as one stream. */
export interface LoadClass {
  readonly workspace: string
  readonly share: number
  readonly priority: number
  /** Target of the time to the first token, in milliseconds. */
  readonly firstTokenTargetMs: number
  /** Mean requests per second, as a function of time. */
  readonly rate: (nowMs: number) => number
}

export interface LoadRunOptions {
  readonly createNode: NodeFactory
  readonly classes: readonly LoadClass[]
  readonly nodes: number
  readonly replicas: number
  readonly seed: number
  /** Duration of the measurement, in milliseconds. */
  readonly durationMs: number
  /** Time before the measurement, in which concurrency limits converge, in milliseconds. */
  readonly warmUpMs: number
  /**
   * How often a caller retries a refused or late request.
   * @default 0
   */
  readonly callerRetries?: number
  /**
   * Whether callers wait before a retry as long as the refusal says.
   * @default true
   */
  readonly honourRetryAfter?: boolean
}

/** Counts of one class over the measurement. */
export interface ClassOutcome {
  /** Requests, not counting retries. */
  offered: number
  /** Requests whose first token came within the target. */
  good: number
  /** Requests whose first token came after the target. */
  late: number
  /** Requests that were refused and had no retries left. */
  refused: number
  /** Attempts that reached their first token, including those whose caller had given up. */
  runs: number
  /** Attempts whose caller had given up before the first token. */
  wasted: number
  /** Time to first token, in milliseconds. */
  readonly firstToken: Histogram
  /** Requests by the second of their arrival. */
  readonly offeredBySecond: Map<number, number>
  /** Good responses by the second of their first token. */
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

/** Time after the last arrival in which responses still count, in milliseconds. */
const DRAIN_MS = 10_000

/** Delay of a retry that doesn't follow a refusal's retry-after time, in milliseconds. */
const DEFAULT_RETRY_DELAY_MS = 100

/** Requests per second that `replicas` replicas can serve. */
export function capacityOf(replicas: number): number {
  const { slots, prefillMs, meanTokens, betweenTokensMs } = LOAD_MODEL
  const slotMs = prefillMs + meanTokens * betweenTokensMs
  return (replicas * slots * MS_PER_SECOND) / slotMs
}

/**
 * Runs one simulation and returns the outcome of each class.
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
  scheduleLoadReports(time, replicas, nodes)
  const outcomes = opts.classes.map((cls) => {
    const outcome = newOutcome()
    const stream = { time, random, nodes, opts, cls, outcome }
    scheduleArrival(stream)
    return outcome
  })
  time.runUntil(opts.warmUpMs + opts.durationMs + DRAIN_MS)
  return outcomes
}

/** The arrivals of one class, with the simulation that they take place in. */
interface ArrivalStream {
  readonly time: VirtualTime
  readonly random: Random
  readonly nodes: readonly NodeModel[]
  readonly opts: LoadRunOptions
  readonly cls: LoadClass
  readonly outcome: ClassOutcome
}

/** Schedules the next request of a Poisson process, which schedules the one after it. */
function scheduleArrival(stream: ArrivalStream): void {
  const { time, random, opts, cls } = stream
  const rate = cls.rate(time.now())
  const gapMs = (-Math.log(1 - random()) / Math.max(rate, 0.01)) * MS_PER_SECOND
  time.after(gapMs, () => {
    if (time.now() > opts.warmUpMs + opts.durationMs) return
    const tokens = Math.ceil(-Math.log(1 - random()) * LOAD_MODEL.meanTokens)
    const request = { ...cls, tokens }
    const isMeasured = time.now() >= opts.warmUpMs
    if (isMeasured) {
      stream.outcome.offered += 1
      countSecond(stream.outcome.offeredBySecond, time.now())
    }
    attempt(stream, request, isMeasured, opts.callerRetries ?? 0)
    scheduleArrival(stream)
  })
}

/** Sends one attempt; time to first token counts from this attempt, not from the first. */
function attempt(
  stream: ArrivalStream,
  request: ModelRequest,
  isMeasured: boolean,
  retriesLeft: number,
): void {
  const { time, random, nodes, opts, outcome } = stream
  const node = nodes[Math.floor(random() * nodes.length)]
  const sentMs = time.now()
  let isResolved = false
  const retry = (delayMs: number): void => {
    time.after(delayMs, () => {
      attempt(stream, request, isMeasured, retriesLeft - 1)
    })
  }
  if (retriesLeft > 0) {
    // The caller gives up at its target and retries while this attempt is still running.
    time.after(request.firstTokenTargetMs, () => {
      if (isResolved) return
      isResolved = true
      retry(DEFAULT_RETRY_DELAY_MS)
    })
  }
  node?.submit(request, {
    onFirstToken: () => {
      if (isMeasured) outcome.runs += 1
      if (isResolved) {
        if (isMeasured) outcome.wasted += 1
        return
      }
      isResolved = true
      if (isMeasured) countFirstToken(outcome, request, sentMs, time.now())
    },
    onDone: () => undefined,
    onRefused: (refusal) => {
      if (isResolved) return
      isResolved = true
      if (retriesLeft > 0) retry(retryDelayMs(opts, refusal))
      else if (isMeasured) outcome.refused += 1
    },
  })
}

function retryDelayMs(opts: LoadRunOptions, refusal: Refusal): number {
  if (opts.honourRetryAfter === false) return DEFAULT_RETRY_DELAY_MS
  return refusal.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS
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

/** Sends each replica's load to all nodes at intervals, with a delay. */
function scheduleLoadReports(
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
    wasted: 0,
    firstToken: build(),
    offeredBySecond: new Map(),
    goodBySecond: new Map(),
  }
}
