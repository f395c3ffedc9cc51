/**
 * Simulates requests with long prompts on engines in virtual time. The gateway's own code
 * selects servers and evaluates outputs; a node knows its own load at once and the load
 * from other nodes only by delayed reports.
 */
import { seededRandom } from '@wagtailway/core'
import {
  selectPlacement,
  LoadTable,
  PrefillSpeeds,
  CachedPrefixes,
  type Acceptance,
  type AcceptanceInputs,
  type BackendServer,
  type CascadeOptions,
  type Placement,
} from '@wagtailway/gateway'
import { VirtualTime } from '../loadModel/virtualTime.js'
import { EngineModel, type EngineSpec } from './engineModel.js'
import { generateRequests, type ModelSpec } from './promptWorkload.js'
import type { PromptClass, PromptRequest } from './promptWorkload.js'

/** Decisions that vary between runs. */
export interface PromptPolicy {
  readonly evaluate: (inputs: AcceptanceInputs, opts: CascadeOptions) => Acceptance
}

export interface PromptRunOptions {
  readonly classes: readonly PromptClass[]
  readonly models: readonly ModelSpec[]
  readonly engine: EngineSpec
  readonly engines: number
  readonly nodes: number
  readonly durationMs: number
  /** Factor of the mean request rate, as a function of time. */
  readonly rateAt: (atMs: number) => number
  readonly policy: PromptPolicy
  readonly seed: number
}

/** Counts and credit of one class of requests. */
export interface PromptOutcome {
  readonly name: string
  requests: number
  inTime: number
  late: number
  /** Credit earned, and the credit if every response were good and in time. */
  earnedCredit: number
  fullCredit: number
  /** Outputs accepted because there was no time to ask the next model. */
  noTimeForNext: number
}

export interface PromptRunResult {
  readonly outcomes: readonly PromptOutcome[]
  /** Earned credit as a fraction of the full credit. */
  readonly creditRatio: number
  /** Fraction of the engines' time spent on prefill. */
  readonly prefillFraction: number
  readonly prefilledTokens: number
  readonly cacheHitTokens: number
}

/** Credit of an output from too small a model, as a fraction of a good output's. */
const POOR_CREDIT_FACTOR = 0.05

/** Mean confidence of good and of poor outputs, and its standard deviation. */
const GOOD_CONFIDENCE = 66
const POOR_CONFIDENCE = 26
const CONFIDENCE_DEVIATION = 24

/** Time after the last arrival in which responses still count, in milliseconds. */
const DRAIN_MS = 20_000

/**
 * Interval of a node's reports, which grows with the number of nodes, and the delay of a
 * report, in milliseconds.
 */
const MIN_REPORT_INTERVAL_MS = 300
const REPORT_INTERVAL_MS_PER_NODE = 8
const REPORT_LAG_MS = 5

const ZONE = 'z1'

interface Node {
  readonly load: LoadTable
  readonly speeds: PrefillSpeeds
  readonly cachedPrefixes: CachedPrefixes
}

/**
 * Runs one simulation.
 *
 * @example
 * runPromptLoad({ classes: GEBETA_GROWN, models: SHEET_MODELS, ..., seed: 1 }).creditRatio // 0.8
 */
export function runPromptLoad(opts: PromptRunOptions): PromptRunResult {
  const time = VirtualTime.create()
  const random = seededRandom(opts.seed)
  const engines = new Map<string, EngineModel>()
  const servers = Array.from({ length: opts.engines }, (_, i): BackendServer => {
    const id = `e${i}`
    engines.set(id, EngineModel.create(time, opts.engine))
    return {
      id,
      startedAtMs: 0,
      slots: opts.engine.slots,
      isDraining: false,
      service: 'llm',
      host: '',
      port: 0,
      zone: ZONE,
      version: 'v1',
    }
  })
  const nodes = Array.from({ length: opts.nodes }, (): Node => ({
    load: LoadTable.create(time.now),
    speeds: PrefillSpeeds.create(time.now),
    cachedPrefixes: CachedPrefixes.create(time.now),
  }))
  scheduleReports(time, nodes)
  const outcomes = new Map(
    opts.classes.map(({ name }): [string, PromptOutcome] => [
      name,
      {
        name,
        requests: 0,
        inTime: 0,
        late: 0,
        earnedCredit: 0,
        fullCredit: 0,
        noTimeForNext: 0,
      },
    ]),
  )
  for (const req of generateRequests(
    opts.classes,
    opts.durationMs,
    opts.rateAt,
    random,
  )) {
    const node = nodes[Math.floor(random() * nodes.length)]
    const outcome = outcomes.get(req.cls.name)
    if (!node || !outcome) continue
    time.after(req.atMs, () => {
      serve({ opts, time, random, engines, servers, node, req, outcome })
    })
  }
  time.runUntil(opts.durationMs + DRAIN_MS)
  const allOutcomes = [...outcomes.values()]
  const sum = (valueOf: (engine: EngineModel) => number): number =>
    [...engines.values()].reduce((total, engine) => total + valueOf(engine), 0)
  return {
    outcomes: allOutcomes,
    creditRatio:
      allOutcomes.reduce((total, { earnedCredit }) => total + earnedCredit, 0) /
      allOutcomes.reduce((total, { fullCredit }) => total + fullCredit, 0),
    prefillFraction: sum(({ prefillMs }) => prefillMs) / (engines.size * opts.durationMs),
    prefilledTokens: sum(({ prefilledTokens }) => prefilledTokens),
    cacheHitTokens: sum(({ cacheHitTokens }) => cacheHitTokens),
  }
}

/** Sends each node's load and model speeds to the other nodes at staggered intervals. */
function scheduleReports(time: VirtualTime, nodes: readonly Node[]): void {
  const intervalMs = Math.max(
    MIN_REPORT_INTERVAL_MS,
    nodes.length * REPORT_INTERVAL_MS_PER_NODE,
  )
  for (const [i, node] of nodes.entries()) {
    time.after((intervalMs * i) / nodes.length, () => {
      time.every(intervalMs, () => {
        const loads = new Map(
          [...node.load.localLoads].map(([id, load]) => [id, { ...load }] as const),
        )
        time.after(REPORT_LAG_MS, () => {
          for (const other of nodes) {
            if (other === node) continue
            other.load.applyReport(`n${i}`, loads)
            other.speeds.applyReport(`n${i}`, node.speeds.localSpeeds)
          }
        })
      })
    })
  }
}

/** A request and the simulation that it runs in. */
interface RequestContext {
  readonly opts: PromptRunOptions
  readonly time: VirtualTime
  readonly random: () => number
  readonly engines: ReadonlyMap<string, EngineModel>
  readonly servers: readonly BackendServer[]
  readonly node: Node
  readonly req: PromptRequest
  readonly outcome: PromptOutcome
}

function serve(ctx: RequestContext): void {
  const { req, outcome } = ctx
  outcome.requests += 1
  outcome.fullCredit += req.cls.credit
  sendAttempt(ctx, 0)
}

/** Sends the request to the model at `modelIndex`, then to the next if the output is rejected. */
function sendAttempt(ctx: RequestContext, modelIndex: number): void {
  const { opts, time, engines, node, req, outcome, random } = ctx
  const model = opts.models[modelIndex]
  const place = selectServer(ctx, model)
  const engine = place && engines.get(place.server.id)
  if (!model || !place || !engine) return
  const { server, prefillMs } = place
  const queuedMs = node.load.total(server.id).waitingMs
  const sentAtMs = time.now()
  node.load.begin(server.id, prefillMs)
  let isPrefilled = false
  const onPrefilled = (): void => {
    if (isPrefilled) return
    isPrefilled = true
    node.load.prefillDone(server.id, prefillMs)
    node.cachedPrefixes.record(server.id, prefixKey(req, model))
  }
  const job = engine.submit({
    model: model.name,
    prefillFactor: model.prefillFactor,
    parts: req.parts,
    outputTokens: req.outputTokens,
    urgency: 1 + req.cls.priority,
    onFirstToken: () => {
      onPrefilled()
      const tookMs = time.now() - sentAtMs - queuedMs
      node.speeds.observe(
        model.name,
        place.prefillTokens,
        tookMs,
        place.meanPrecedingTokens,
      )
      const acceptance = opts.policy.evaluate(
        acceptanceInputs(ctx, modelIndex, model),
        {},
      )
      if (acceptance === 'ask_next') {
        job.cancel()
        node.load.end(server.id)
        sendAttempt(ctx, modelIndex + 1)
        return
      }
      if (acceptance === 'no_time_for_next') outcome.noTimeForNext += 1
      addCredit(ctx, model)
    },
    onDone: () => {
      node.load.end(server.id)
    },
  })

  function acceptanceInputs(
    { req: { cls, difficulty, atMs } }: RequestContext,
    index: number,
    { quality }: ModelSpec,
  ): AcceptanceInputs {
    const next = opts.models[index + 1]
    const mean = difficulty <= quality ? GOOD_CONFIDENCE : POOR_CONFIDENCE
    const deviation = (random() + random() + random() - 1.5) * 2 * CONFIDENCE_DEVIATION
    return {
      modelIndex: index,
      modelCount: opts.models.length,
      priority: cls.priority,
      confidence: Math.min(100, Math.max(0, mean + deviation)),
      nextExpectedFirstByteMs: next
        ? (selectServer(ctx, next)?.expectedFirstByteMs ?? 0)
        : 0,
      timeToTargetMs: atMs + cls.targetMs - time.now(),
      hasAttemptsLeft: true,
      retryBudgetLeft: 1,
    }
  }
}

function addCredit({ time, req, outcome }: RequestContext, { quality }: ModelSpec): void {
  const { cls, atMs, difficulty } = req
  const tookMs = time.now() - atMs
  if (tookMs > cls.deadlineMs) return
  const isInTime = tookMs <= cls.targetMs
  if (isInTime) outcome.inTime += 1
  else outcome.late += 1
  const factor = difficulty <= quality ? 1 : POOR_CREDIT_FACTOR
  outcome.earnedCredit += (isInTime ? cls.credit : cls.lateCredit) * factor
}

function selectServer(
  { servers, node, req, random }: RequestContext,
  model: ModelSpec | undefined,
): Placement | undefined {
  if (!model) return undefined
  const sharedTokens = req.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
  const key = prefixKey(req, model)
  return selectPlacement(
    servers,
    {
      affinityKey: key,
      hasCachedPrefix: (id) => node.cachedPrefixes.has(id, key),
      sharedTokens,
      uniqueTokens: req.parts.at(-1)?.tokens ?? 0,
      prefillMsPerToken: (before) => node.speeds.msPerToken(model.name, before),
      zone: ZONE,
    },
    (id) => node.load.total(id),
    random,
  )
}

/** Key by which a node records on which servers a model has cached the prompt's prefix. */
function prefixKey({ parts }: PromptRequest, { name }: ModelSpec): string {
  return `${name} ${parts.at(-2)?.id ?? ''}`
}
