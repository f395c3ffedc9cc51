/**
 * Plays requests with long prompts against engines in virtual time, placed and judged by
 * the gateway's own decisions: nodes know their own sends at once and the others' late.
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
import { drawRequests, type ModelSpec } from './promptWorkload.js'
import type { PromptClass, PromptRequest } from './promptWorkload.js'

/** What is varied between runs. */
export interface PromptPolicy {
  readonly judge: (inputs: AcceptanceInputs, opts: CascadeOptions) => Acceptance
}

export interface PromptRunOptions {
  readonly classes: readonly PromptClass[]
  readonly models: readonly ModelSpec[]
  readonly engine: EngineSpec
  readonly engines: number
  readonly nodes: number
  readonly durationMs: number
  /** Factor of the usual rate at a moment. */
  readonly rateAt: (atMs: number) => number
  readonly policy: PromptPolicy
  readonly seed: number
}

/** What one kind of request got. */
export interface PromptOutcome {
  readonly name: string
  asked: number
  inTime: number
  late: number
  /** Credit earned and owed. */
  earned: number
  owed: number
  /** Answers of a small model that were taken for want of time. */
  noTime: number
}

export interface PromptRunResult {
  readonly outcomes: readonly PromptOutcome[]
  /** Credit earned as part of what was owed. */
  readonly worth: number
  /** Part of the time in which engines read prompts. */
  readonly reading: number
  readonly readTokens: number
  readonly keptTokens: number
}

/** Credit of an answer of too small a model, as part of a good one's. */
const POOR_PART = 0.05

/** Confidence in good and in bad answers, and how far it strays. */
const SURE = 66
const UNSURE = 26
const CONFIDENCE_SPREAD = 24

/** Time after the last arrival in which answers still count, in milliseconds. */
const SETTLE_MS = 20_000

/** Pause between two reports of a node, by the number of nodes, and their way, in milliseconds. */
const LEAST_REPORT_MS = 300
const REPORT_MS_PER_NODE = 8
const REPORT_LAG_MS = 5

const ZONE = 'z1'

interface Node {
  readonly load: LoadTable
  readonly speeds: PrefillSpeeds
  readonly readParts: CachedPrefixes
}

/**
 * Plays one run.
 *
 * @example
 * playPrompts({ classes: GEBETA_GROWN, models: SHEET_MODELS, ..., seed: 1 }).worth // 0.8
 */
export function playPrompts(opts: PromptRunOptions): PromptRunResult {
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
    readParts: CachedPrefixes.create(time.now),
  }))
  startReports(time, nodes)
  const outcomes = new Map(
    opts.classes.map(({ name }): [string, PromptOutcome] => [
      name,
      { name, asked: 0, inTime: 0, late: 0, earned: 0, owed: 0, noTime: 0 },
    ]),
  )
  for (const req of drawRequests(opts.classes, opts.durationMs, opts.rateAt, random)) {
    const node = nodes[Math.floor(random() * nodes.length)]
    const outcome = outcomes.get(req.cls.name)
    if (!node || !outcome) continue
    time.after(req.atMs, () => {
      serve({ opts, time, random, engines, servers, node, req, outcome })
    })
  }
  time.runUntil(opts.durationMs + SETTLE_MS)
  const all = [...outcomes.values()]
  const sum = (of: (engine: EngineModel) => number): number =>
    [...engines.values()].reduce((total, engine) => total + of(engine), 0)
  return {
    outcomes: all,
    worth:
      all.reduce((total, { earned }) => total + earned, 0) /
      all.reduce((total, { owed }) => total + owed, 0),
    reading: sum(({ readingMs }) => readingMs) / (engines.size * opts.durationMs),
    readTokens: sum(({ readTokens }) => readTokens),
    keptTokens: sum(({ keptTokens }) => keptTokens),
  }
}

function startReports(time: VirtualTime, nodes: readonly Node[]): void {
  const everyMs = Math.max(LEAST_REPORT_MS, nodes.length * REPORT_MS_PER_NODE)
  for (const [i, node] of nodes.entries()) {
    time.after((everyMs * i) / nodes.length, () => {
      time.every(everyMs, () => {
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

interface Serving {
  readonly opts: PromptRunOptions
  readonly time: VirtualTime
  readonly random: () => number
  readonly engines: ReadonlyMap<string, EngineModel>
  readonly servers: readonly BackendServer[]
  readonly node: Node
  readonly req: PromptRequest
  readonly outcome: PromptOutcome
}

function serve(s: Serving): void {
  const { req, outcome } = s
  outcome.asked += 1
  outcome.owed += req.cls.worth
  send(s, 0)
}

function send(s: Serving, index: number): void {
  const { opts, time, engines, node, req, outcome, random } = s
  const model = opts.models[index]
  const place = pick(s, model)
  const engine = place && engines.get(place.server.id)
  if (!model || !place || !engine) return
  const { server, prefillMs: readingMs } = place
  const aheadMs = node.load.total(server.id).waitingMs
  const sentAtMs = time.now()
  node.load.begin(server.id, readingMs)
  let isRead = false
  const promptRead = (): void => {
    if (isRead) return
    isRead = true
    node.load.prefillDone(server.id, readingMs)
    node.readParts.record(server.id, keyOf(req, model))
  }
  const job = engine.submit({
    model: model.name,
    pace: model.pace,
    parts: req.parts,
    outputTokens: req.outputTokens,
    urgency: 1 + req.cls.priority,
    onFirstToken: () => {
      promptRead()
      const tookMs = time.now() - sentAtMs - aheadMs
      node.speeds.observe(
        model.name,
        place.prefillTokens,
        tookMs,
        place.meanPrecedingTokens,
      )
      const judged = opts.policy.judge(judgeInputs(s, index, model), {})
      if (judged === 'ask_next') {
        job.cancel()
        node.load.end(server.id)
        send(s, index + 1)
        return
      }
      if (judged === 'no_time_for_next') outcome.noTime += 1
      credit(s, model)
    },
    onDone: () => {
      node.load.end(server.id)
    },
  })

  function judgeInputs(
    { req: { cls, difficulty, atMs } }: Serving,
    at: number,
    { quality }: ModelSpec,
  ): AcceptanceInputs {
    const next = opts.models[at + 1]
    const usual = difficulty <= quality ? SURE : UNSURE
    const stray = (random() + random() + random() - 1.5) * 2 * CONFIDENCE_SPREAD
    return {
      modelIndex: at,
      modelCount: opts.models.length,
      priority: cls.priority,
      confidence: Math.min(100, Math.max(0, usual + stray)),
      nextExpectedFirstByteMs: next ? (pick(s, next)?.expectedFirstByteMs ?? 0) : 0,
      timeToTargetMs: atMs + cls.targetMs - time.now(),
      hasAttemptsLeft: true,
      retryBudgetLeft: 1,
    }
  }
}

function credit({ time, req, outcome }: Serving, { quality }: ModelSpec): void {
  const { cls, atMs, difficulty } = req
  const tookMs = time.now() - atMs
  if (tookMs > cls.deadlineMs) return
  const isInTime = tookMs <= cls.targetMs
  if (isInTime) outcome.inTime += 1
  else outcome.late += 1
  const part = difficulty <= quality ? 1 : POOR_PART
  outcome.earned += (isInTime ? cls.worth : cls.lateWorth) * part
}

function pick(
  { servers, node, req, random }: Serving,
  model: ModelSpec | undefined,
): Placement | undefined {
  if (!model) return undefined
  const sharedTokens = req.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
  const key = keyOf(req, model)
  return selectPlacement(
    servers,
    {
      affinityKey: key,
      hasCachedPrefix: (id) => node.readParts.has(id, key),
      sharedTokens,
      uniqueTokens: req.parts.at(-1)?.tokens ?? 0,
      prefillMsPerToken: (before) => node.speeds.msPerToken(model.name, before),
      zone: ZONE,
    },
    (id) => node.load.total(id),
    random,
  )
}

function keyOf({ parts }: PromptRequest, { name }: ModelSpec): string {
  return `${name} ${parts.at(-2)?.id ?? ''}`
}
