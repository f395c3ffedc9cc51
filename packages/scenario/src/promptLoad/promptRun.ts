/**
 * Simulates requests with long prompts on engines in virtual time. The gateway's own code
 * selects servers and evaluates outputs; a node knows its own load at once and the load
 * from other nodes only by delayed reports.
 */
import { seededRandom } from '@wagtailway/core'
import {
  engineUrgency,
  selectPlacement,
  expectedWaitMs,
  type AcceptanceInputs,
  type BackendServer,
  type Placement,
  type ServiceAdmission,
} from '@wagtailway/gateway'
import { VirtualTime } from '../loadModel/virtualTime.js'
import { EngineModel } from './engineModel.js'
import {
  DATAGRAM_LAG_MS,
  createNodes,
  reportToEach,
  type PromptNode,
} from './loadSharing.js'
import {
  createAdmissions,
  drawNode,
  type AdmissionInputs,
  type PromptOutcome,
  type PromptRunOptions,
  type PromptRunResult,
  type RequestEnd,
} from './promptOptions.js'
import { generateRequests, type ModelSpec, type PromptRequest } from './promptWorkload.js'

export type * from './promptOptions.js'

/** Credit of an output from too small a model, as a fraction of a good output's. */
const POOR_CREDIT_FACTOR = 0.05

/** Mean confidence of good and of poor outputs, and its standard deviation. */
const GOOD_CONFIDENCE = 66
const POOR_CONFIDENCE = 26
const CONFIDENCE_DEVIATION = 24

/** Time after the last arrival in which responses still count, in milliseconds. */
const DRAIN_MS = 20_000

/** Retries of a caller whose request was refused. */
const MAX_CALLER_RETRIES = 1

/** Base delay of those retries, in milliseconds. */
const REFUSED_RETRY_AFTER_MS = 300

/** Longest delay that callers respect, as a share of the time that they have left. */
const MAX_RETRY_SHARE = 1 / 3

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
  const admissions = createAdmissions(opts, time, nodes, servers)
  const shareLoads = opts.shareLoads ?? reportToEach
  shareLoads({
    time,
    nodes,
    random: seededRandom(opts.seed + 1),
    lossShare: opts.lossShare ?? 0,
    lagMs: opts.datagramLagMs ?? DATAGRAM_LAG_MS,
    isDown,
    onDatagram: (from, to, count) => {
      countBytes(from, count)
      countBytes(to, count)
    },
  })
  const outcomes = new Map(
    opts.classes.map(({ name }): [string, PromptOutcome] => [name, emptyOutcome(name)]),
  )
  const generated = generateRequests(opts.classes, opts.durationMs, opts.rateAt, random)
  for (const [i, unchanged] of generated.entries()) {
    const req = opts.changeRequest?.(unchanged, i) ?? unchanged
    const live = nodes.filter((node) => !isDown(node, req.atMs))
    const node = drawNode(live, req.atMs, random, opts)
    const isCounted = req.atMs >= (opts.countFromMs ?? 0)
    const outcome = isCounted ? outcomes.get(req.cls.name) : emptyOutcome(req.cls.name)
    if (!node || !outcome) continue
    time.after(req.atMs, () => {
      const ctx = {
        opts,
        time,
        random,
        engines,
        servers,
        nodes: live,
        node,
        req,
        outcome,
      }
      serve({ ...ctx, isCounted, demotion: 0, admissions })
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

function emptyOutcome(name: string): PromptOutcome {
  return {
    name,
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    cut: 0,
    earnedCredit: 0,
    fullCredit: 0,
    noTimeForNext: 0,
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
  readonly nodes: readonly PromptNode[]
  readonly node: PromptNode
  /** Admission of each node; empty without it. */
  readonly admissions: ReadonlyMap<string, ServiceAdmission>
  readonly req: PromptRequest
  readonly outcome: PromptOutcome
  readonly isCounted: boolean
  /** Levels by which the engines are told that the request is less urgent. */
  readonly demotion: number
}

/** Reports the end of a counted request. */
function end(
  { opts, req, node, isCounted }: RequestContext,
  result: RequestEnd['result'],
  creditShare = 0,
): void {
  if (isCounted) opts.onEnd?.({ req, zone: node.zone, result, creditShare })
}

function serve(ctx: RequestContext): void {
  const { req, outcome } = ctx
  outcome.requests += 1
  outcome.fullCredit += req.cls.credit
  sendFirstAttempt(ctx, MAX_CALLER_RETRIES)
}

/** Sends the request, or refuses it so that its caller comes back later. */
function sendFirstAttempt(ctx: RequestContext, retriesLeft: number): void {
  const { opts, req, node, time } = ctx
  const { workspace = '', priority } = req.cls
  const decision = ctx.admissions.get(node.name)?.decide({ workspace, priority }).decision
  if (decision?.type === 'refuse') {
    refuseAttempt(ctx, retriesLeft, decision.retryAfterMs)
    return
  }
  const admitted = { ...ctx, demotion: decision?.demotion ?? 0 }
  const { cls, atMs, outputTokens } = req
  const expectedFirstByteMs =
    selectServer(admitted, opts.models[0])?.expectedFirstByteMs ?? 0
  const timeToDeadlineMs = atMs + cls.deadlineMs - time.now()
  const admit = opts.policy.admit ?? admitsByDeadline
  const isAdmitted = admit({
    priority: cls.priority,
    expectedFirstByteMs,
    outputTokens,
    timeToTargetMs: atMs + cls.targetMs - time.now(),
    timeToDeadlineMs,
  })
  if (isAdmitted) {
    sendAttempt(admitted, 0)
    return
  }
  const lateByMs = Math.max(0, expectedFirstByteMs - timeToDeadlineMs)
  const retryAfterMs = (REFUSED_RETRY_AFTER_MS + lateByMs) * (1 + ctx.random())
  refuseAttempt(ctx, retriesLeft, retryAfterMs)
}

/** Refuses a request, whose caller returns if it has a retry left. */
function refuseAttempt(
  ctx: RequestContext,
  retriesLeft: number,
  retryAfterMs: number,
): void {
  const { time, nodes, random, req, outcome } = ctx
  const timeToDeadlineMs = req.atMs + req.cls.deadlineMs - time.now()
  if (retriesLeft === 0) {
    outcome.refused += 1
    end(ctx, 'refused')
    return
  }
  time.after(Math.min(retryAfterMs, timeToDeadlineMs * MAX_RETRY_SHARE), () => {
    const node = nodes[Math.floor(random() * nodes.length)] ?? ctx.node
    sendFirstAttempt({ ...ctx, node }, retriesLeft - 1)
  })
}

function admitsByDeadline(inputs: AdmissionInputs): boolean {
  return inputs.expectedFirstByteMs <= inputs.timeToDeadlineMs
}

/** Sends the request to the model at `modelIndex`, then to the next if the output is rejected. */
function sendAttempt(ctx: RequestContext, modelIndex: number): void {
  const { opts, time, engines, node, req, outcome, random } = ctx
  const model = opts.models[modelIndex]
  const place = selectServer(ctx, model)
  const engine = place && engines.get(place.server.id)
  if (!model || !place || !engine) return
  const { server, prefillMs, urgency } = place
  const queuedMs = expectedWaitMs(node.load.total(server.id), urgency)
  const sentAtMs = time.now()
  node.load.begin(server.id, prefillMs, urgency)
  let isPrefilled = false
  const recordPrefillDone = (): void => {
    if (isPrefilled) return
    isPrefilled = true
    node.load.prefillDone(server.id, prefillMs, urgency)
  }
  let isFinished = false
  const finish = (): void => {
    isFinished = true
    recordPrefillDone()
    node.load.end(server.id)
  }
  let firstTokenAtMs = 0
  const job = engine.submit({
    model: model.name,
    prefillFactor: model.prefillFactor,
    parts: req.parts,
    outputTokens: req.outputTokens,
    urgency,
    onFirstToken: () => {
      recordPrefillDone()
      node.cachedPrefixes.record(server.id, prefixKey(req, model))
      firstTokenAtMs = time.now()
      const tookMs = firstTokenAtMs - sentAtMs - queuedMs
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
        finish()
        sendAttempt(ctx, modelIndex + 1)
        return
      }
      if (acceptance === 'no_time_for_next') outcome.noTimeForNext += 1
    },
    onDone: () => {
      finish()
      addCredit(ctx, model, firstTokenAtMs)
    },
  })
  time.after(Math.max(0, req.atMs + req.cls.deadlineMs - sentAtMs), () => {
    if (isFinished) return
    outcome.cut += 1
    end(ctx, 'cut')
    job.cancel()
    finish()
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
      mayRunAgain: true,
      retryBudgetLeft: 1,
    }
  }
}

/** Counts a complete response; its latency is that of its first token. */
function addCredit(
  ctx: RequestContext,
  { quality }: ModelSpec,
  firstTokenAtMs: number,
): void {
  const { req, outcome } = ctx
  const { cls, atMs, difficulty } = req
  const isInTime = firstTokenAtMs - atMs <= cls.targetMs
  if (isInTime) outcome.inTime += 1
  else outcome.late += 1
  const factor = difficulty <= quality ? 1 : POOR_CREDIT_FACTOR
  const credit = (isInTime ? cls.credit : cls.lateCredit) * factor
  outcome.earnedCredit += credit
  end(ctx, isInTime ? 'in_time' : 'late', credit / cls.credit)
}

function selectServer(
  { servers, node, req, random, demotion }: RequestContext,
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
      urgencyOf: (ms) =>
        engineUrgency({ workspace: 0, route: req.cls.priority }, ms, demotion),
      hasOldLoads: node.load.hasFleetLoads,
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
