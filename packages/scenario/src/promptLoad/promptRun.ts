/**
 * Simulates requests with long prompts on engines in virtual time. The gateway's own code
 * selects servers and evaluates outputs; a node knows its own load at once and the load
 * from other nodes only by delayed reports.
 */
import { seededRandom } from '@wagtailway/core'
import {
  selectPlacement,
  type Acceptance,
  type AcceptanceInputs,
  type BackendServer,
  type CascadeOptions,
  type Placement,
} from '@wagtailway/gateway'
import { VirtualTime } from '../loadModel/virtualTime.js'
import { EngineModel, type EngineSpec } from './engineModel.js'
import {
  createNodes,
  reportToEach,
  type LoadSharing,
  type PromptNode,
} from './loadSharing.js'
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
  /**
   * How nodes tell each other their loads.
   *
   * @default reportToEach
   */
  readonly shareLoads?: LoadSharing
  /** Number of availability zones of the nodes; one by default. */
  readonly zones?: number
  /** Share of the datagrams between nodes that are lost; none by default. */
  readonly lossShare?: number
  /** Whether the node with this index has ended; no requests reach it then. */
  readonly isNodeDown?: (index: number, atMs: number) => boolean
  /** Factor of the duration of an engine's steps, such as 3.5 while it is slow. */
  readonly slowdownAt?: (engine: number, atMs: number) => number
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
  /** Bytes a second that a node sends and receives to share loads. */
  readonly meanBytesPerS: number
  readonly maxBytesPerS: number
}

/** Credit of an output from too small a model, as a fraction of a good output's. */
const POOR_CREDIT_FACTOR = 0.05

/** Mean confidence of good and of poor outputs, and its standard deviation. */
const GOOD_CONFIDENCE = 66
const POOR_CONFIDENCE = 26
const CONFIDENCE_DEVIATION = 24

/** Time after the last arrival in which responses still count, in milliseconds. */
const DRAIN_MS = 20_000

const ZONE = 'z1'

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
    const slowdownAt = (atMs: number): number => opts.slowdownAt?.(i, atMs) ?? 1
    engines.set(id, EngineModel.create(time, opts.engine, slowdownAt))
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
  const nodes = createNodes(time, opts.nodes, opts.zones ?? 1)
  const isDown = ({ name }: PromptNode, atMs: number): boolean =>
    opts.isNodeDown?.(
      nodes.findIndex((node) => node.name === name),
      atMs,
    ) ?? false
  const bytes = new Map<string, number>()
  const countBytes = ({ name }: PromptNode, count: number): void => {
    bytes.set(name, (bytes.get(name) ?? 0) + count)
  }
  const shareLoads = opts.shareLoads ?? reportToEach
  shareLoads({
    time,
    nodes,
    random: seededRandom(opts.seed + 1),
    lossShare: opts.lossShare ?? 0,
    isDown,
    onDatagram: (from, to, count) => {
      countBytes(from, count)
      countBytes(to, count)
    },
  })
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
    const live = nodes.filter((node) => !isDown(node, req.atMs))
    const node = live[Math.floor(random() * live.length)]
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
    ...bytesPerS([...bytes.values()], opts),
  }
}

function bytesPerS(
  bytes: readonly number[],
  { nodes, durationMs }: PromptRunOptions,
): Pick<PromptRunResult, 'meanBytesPerS' | 'maxBytesPerS'> {
  const seconds = (durationMs + DRAIN_MS) / 1_000
  const total = bytes.reduce((sum, count) => sum + count, 0)
  return {
    meanBytesPerS: total / nodes / seconds,
    maxBytesPerS: Math.max(0, ...bytes) / seconds,
  }
}

/** A request and the simulation that it runs in. */
interface RequestContext {
  readonly opts: PromptRunOptions
  readonly time: VirtualTime
  readonly random: () => number
  readonly engines: ReadonlyMap<string, EngineModel>
  readonly servers: readonly BackendServer[]
  readonly node: PromptNode
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
