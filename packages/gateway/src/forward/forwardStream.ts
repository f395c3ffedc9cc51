/**
 * Forwards event streams. Relays the first response that is confident enough; if its
 * server fails, another server continues the stream after the last event relayed.
 */
import { evaluateCompletion, type Acceptance } from '../cascade/cascade.js'
import type { Placement } from '../placement/selectPlacement.js'
import type { MemoryHold } from '../memory/memoryShare.js'
import { readFullBody, type AttemptResponse, type BodyResult } from './attempt.js'
import {
  completeFailed,
  describeQuarantine,
  describeUnplaced,
  elapsedSinceSentMs,
  endOnDisconnect,
  isRefusedByServer,
  refuseFurtherRun,
  refuseLimited,
  refuseUnserved,
  relayResponse,
  retryAfterMsOf,
  type UnservedReason,
} from './requestOutcomes.js'
import { relayEvents, type RelayResult } from './relayEvents.js'
import type { RequestContext } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import { monitorInactivity } from './inactivityMonitor.js'
import { isRepeatable, type FurtherRunReason } from '../retry/mayRunAgain.js'
import { startTimer } from './timer.js'
import { startAttempt, type TrackedAttempt } from './startAttempt.js'

/** Maximum size of a response that is not a stream, such as an error, in bytes. */
const MAX_NON_STREAM_BYTES = 1_048_576

/**
 * A server that has not sent a response head counts as inactive after this multiple of the
 * expected time to first byte, plus the time given by `MAX_PREFILL_MS_PER_TOKEN`.
 */
const INACTIVITY_FACTOR = 3

/** Prefill time per prompt token of a large model on a busy engine, in milliseconds. */
const MAX_PREFILL_MS_PER_TOKEN = 0.06

/**
 * Minimum inactivity timeout as a share of the route's target time: an engine may have to
 * finish other work first.
 */
const MIN_INACTIVITY_TARGET_SHARE = 0.55

/**
 * Maximum inactivity timeout as a share of the time until the deadline, so that another
 * server still has time to respond.
 */
const MAX_WAIT_SHARE = 0.6

/**
 * Base retry delay sent to refused callers, in milliseconds; the time until a server is
 * free is added to it.
 */
const REFUSED_RETRY_AFTER_MS = 300

/** State of a stream across its attempts. */
interface StreamState {
  /** Index of the current model in the list of models to try. */
  modelIndex: number
  hasBegun: boolean
  lastEventId: number | undefined
  /** Placement that was acquired for the next attempt. */
  nextPlacement: Placement | undefined
}

/** Result of one attempt. */
type StreamAttemptResult =
  | { readonly type: 'done'; readonly outcome: RequestOutcome }
  /** `isCharged` if the retry has already been charged to the retry budget. */
  | {
      readonly type: 'retry'
      readonly reason: FurtherRunReason
      readonly isCharged?: boolean
    }
  | { readonly type: 'give_up'; readonly reason: 'server_failed' | 'timeout' }

/**
 * Tries servers until the stream is complete, no retry is allowed, or the deadline
 * passes.
 *
 * @example
 * ctx.finish(await forwardStream(ctx))
 */
export async function forwardStream(ctx: RequestContext): Promise<RequestOutcome> {
  const { caller } = ctx.opts
  const state: StreamState = {
    modelIndex: firstModelIndex(ctx),
    hasBegun: false,
    lastEventId: caller.metadata.lastEventId,
    nextPlacement: undefined,
  }
  for (;;) {
    if (!state.hasBegun) caller.state = 'placement'
    if (ctx.timeToDeadlineMs <= 0) return endUnserved(ctx, state, 'timeout')
    const trait = ctx.findQuarantinedTrait()
    if (trait !== undefined) return endQuarantined(ctx, state, trait)
    const model = ctx.models[state.modelIndex]
    const placement = state.nextPlacement ?? (await ctx.placement.acquire(model))
    state.nextPlacement = undefined
    if (!placement) return endUnplaced(ctx, state)
    const unsent = endBeforeAttempt(ctx, state, placement)
    if (unsent) {
      ctx.placement.release(placement)
      return unsent
    }
    const tracked = startAttempt(ctx, placement, model, state.lastEventId)
    const result = await runAttempt(ctx, state, tracked)
    if (result.type === 'done') return result.outcome
    if (result.type === 'give_up') return endUnserved(ctx, state, result.reason)
    const refusal = refuseFurtherRun(ctx, result)
    if (refusal) return endUnserved(ctx, state, refusal)
    if (await caller.hasLeft()) return { outcome: 'caller_left', status: 0 }
  }
}

/** Index of the model that a request is tried on first. */
function firstModelIndex(ctx: RequestContext): number {
  const { route } = ctx.opts
  if (isRepeatable(route) && route.maxAttempts > 1) return 0
  return ctx.singleRunModelIndex
}

function endQuarantined(
  ctx: RequestContext,
  state: StreamState,
  trait: string,
): RequestOutcome {
  const { reason, part } = describeQuarantine(trait)
  return { ...endUnserved(ctx, state, reason), ...(part !== undefined && { part }) }
}

/** Outcome of a request whose next attempt is of no use; `undefined` if it may be sent. */
function endBeforeAttempt(
  ctx: RequestContext,
  state: StreamState,
  { expectedFirstByteMs }: Placement,
): RequestOutcome | undefined {
  if (ctx.opts.caller.hasDisconnected) return { outcome: 'caller_left', status: 0 }
  const lateByMs = expectedFirstByteMs - ctx.timeToDeadlineMs
  if (state.hasBegun || lateByMs <= 0) return undefined
  return endUnserved(ctx, state, 'overloaded', lateByMs)
}

/** Ends a stream for whose next attempt there is no server. */
function endUnplaced(ctx: RequestContext, state: StreamState): RequestOutcome {
  const isLimited = ctx.placement.exhaustedLimits.length > 0
  if (isLimited && !state.hasBegun) return refuseLimited(ctx)
  const unplaced = describeUnplaced(ctx)
  if (unplaced && !state.hasBegun)
    return refuseUnserved(ctx, unplaced.reason, unplaced.retryAfterMs)
  return endUnserved(ctx, state, isLimited ? 'servers_limited' : 'no_server')
}

/**
 * Ends a stream that cannot be completed. If it has already begun, its connection is
 * closed, so that the caller can tell that it is incomplete.
 *
 * @param serverFreeInMs Excess of the expected time to first byte over the time until
 *   the deadline.
 */
function endUnserved(
  ctx: RequestContext,
  state: StreamState,
  reason: UnservedReason,
  serverFreeInMs = 0,
): RequestOutcome {
  const { caller } = ctx.opts
  if (state.hasBegun && !caller.hasDisconnected) {
    caller.res.destroy()
    return { outcome: 'broken_off', status: 200, reason }
  }
  const defaultMs = REFUSED_RETRY_AFTER_MS + serverFreeInMs
  return refuseUnserved(ctx, reason, retryAfterMsOf(reason, defaultMs))
}

async function runAttempt(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
): Promise<StreamAttemptResult> {
  const { caller, route } = ctx.opts
  const { server } = tracked.placement
  const canRetry = ctx.retries.mayRunAgain('silent', server)
  const maxPrefillMs = caller.metadata.promptTokens * MAX_PREFILL_MS_PER_TOKEN
  const inactivityMs = Math.max(
    route.targetMs * MIN_INACTIVITY_TARGET_SHARE,
    maxPrefillMs + tracked.placement.expectedFirstByteMs * INACTIVITY_FACTOR,
  )
  let hasTimedOut = false
  let isCharged = false
  const monitor = monitorInactivity({
    probe: () => ctx.opts.node.opts.dialer.probe(server, tracked.attempt.relay),
    inactivityMs: Math.min(ctx.timeToDeadlineMs * MAX_WAIT_SHARE, inactivityMs),
    mayAbandon: () =>
      canRetry &&
      ctx.canBeginElsewhere(tracked.logEntry.model, server) &&
      ctx.retries.tryAcquire('silent'),
    onInactive: () => {
      isCharged = true
      hasTimedOut = true
      tracked.attempt.cancel()
    },
  })
  const deadline = startTimer(ctx.timeToDeadlineMs, () => {
    hasTimedOut = true
    tracked.attempt.cancel()
  })
  caller.onDisconnect(() => {
    tracked.attempt.cancel()
  })
  try {
    const head = await tracked.attempt.head
    monitor.cancel()
    if (caller.hasDisconnected)
      return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
    if (head.type === 'answered') return await handleResponse(ctx, state, tracked, head)
    completeFailed(tracked, head, hasTimedOut)
    ctx.placement.exclude(server)
    if (head.runState === 'not_run') {
      ctx.recorder.recordNotSent(tracked, head)
      if (head.reason === 'unsendable')
        return { type: 'give_up', reason: 'server_failed' }
      return { type: 'retry', reason: head.reason }
    }
    ctx.retries.recordMayHaveRun(server)
    ctx.retries.recordBadConnection()
    if (hasTimedOut) ctx.recorder.recordSilent(tracked)
    else if (head.reason === 'wrong_answer') ctx.recorder.recordWrongAnswer(tracked)
    else await ctx.recorder.recordLostConnection(tracked)
    return { type: 'retry', reason: hasTimedOut ? 'silent' : head.reason, isCharged }
  } catch (err) {
    tracked.attempt.cancel()
    tracked.complete('failed_inside')
    throw err
  } finally {
    monitor.cancel()
    deadline.cancel()
  }
}

async function handleResponse(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): Promise<StreamAttemptResult> {
  const { node } = ctx.opts
  const { server } = tracked.placement
  if (isRefusedByServer(ctx, tracked, head)) {
    return { type: 'retry', reason: 'server_refused' }
  }
  ctx.retries.recordMayHaveRun(server)
  if (head.status !== 200) return await handleNonStreamResponse(ctx, state, tracked, head)
  const isContinuation = !state.hasBegun || mayBeEvents(head)
  if (!head.metadata.isSigned || head.metadata.isEncoded || !isContinuation) {
    tracked.attempt.cancel()
    tracked.complete('broken_answer')
    ctx.placement.exclude(server)
    ctx.recorder.recordResult(server, 'failed')
    return { type: 'retry', reason: 'broken_answer' }
  }
  tracked.logEntry.confidence = head.metadata.confidence
  tracked.recordPrefillDone()
  observePrefillSpeed(ctx, tracked)
  if (!state.hasBegun && (await acquireNextModel(ctx, state, tracked, head))) {
    tracked.attempt.cancel()
    tracked.complete('not_sure_enough')
    node.opts.health.recordResult(server.id, true)
    state.modelIndex += 1
    return { type: 'retry', reason: 'larger_model', isCharged: true }
  }
  // The response may have been broken off while a permit for the next model was asked for.
  if (head.res.destroyed) {
    if (ctx.opts.caller.hasDisconnected)
      return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
    if (ctx.timeToDeadlineMs <= 0) return concludeStream(ctx, tracked, 'timeout')
    await ctx.recorder.recordLostConnection(tracked)
    return concludeStream(ctx, tracked, 'broken')
  }
  let isSpeedRecorded = false
  const recordSpeedOnce = (): void => {
    if (!isSpeedRecorded) isSpeedRecorded = recordStreamSpeed(ctx, tracked)
  }
  // Waiting for the end of a slow stream would take long.
  const relayResult = await relayEvents(ctx, state, tracked, head, recordSpeedOnce)
  recordSpeedOnce()
  if (relayResult === 'broken') await ctx.recorder.recordLostConnection(tracked)
  return concludeStream(ctx, tracked, relayResult)
}

/** Whether a response may be a stream of events, as far as its type tells. */
function mayBeEvents({ res }: AttemptResponse): boolean {
  const type = res.headers['content-type']
  return type === undefined || type.startsWith('text/event-stream')
}

function concludeStream(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  relayResult: RelayResult,
): StreamAttemptResult {
  const { server } = tracked.placement
  tracked.complete(relayResult)
  switch (relayResult) {
    case 'complete':
      ctx.recorder.recordResult(server, 'ok')
      return { type: 'done', outcome: { outcome: 'answered', status: 200 } }
    case 'caller_left':
      return { type: 'done', outcome: { outcome: 'caller_left', status: 0 } }
    case 'timeout':
      return { type: 'give_up', reason: 'timeout' }
    case 'gap':
    case 'broken':
    case 'endless':
    case 'silent':
      ctx.placement.exclude(server)
      ctx.retries.recordBadConnection()
      if (relayResult === 'silent') ctx.recorder.recordSilent(tracked)
      else if (relayResult === 'endless') ctx.recorder.recordUnreachable(server)
      else if (relayResult === 'gap') ctx.recorder.recordResult(server, 'failed')
      return { type: 'retry', reason: relayResult, isCharged: relayResult === 'silent' }
  }
}

/** Records the speed of a stream; returns false if it had too few events to tell. */
function recordStreamSpeed(ctx: RequestContext, tracked: TrackedAttempt): boolean {
  const { quickPauseMs, model } = tracked.logEntry
  if (quickPauseMs === undefined) return false
  const { server } = tracked.placement
  ctx.recorder.recordSpeed(server, `pauses of ${model ?? 'any model'}`, quickPauseMs)
  return true
}

/** Handles a response that is not a stream, such as a server error. */
async function handleNonStreamResponse(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): Promise<StreamAttemptResult> {
  const hold = ctx.opts.node.memory.answers.open(ctx.memoryHolder)
  const undoRelease = ctx.opts.caller.defer(() => {
    hold.close()
  })
  try {
    const limits = { maxBytes: MAX_NON_STREAM_BYTES, budget: hold }
    const bodyResult = await readFullBody(tracked.attempt, head, limits)
    return concludeNonStream(ctx, state, tracked, { head, bodyResult, hold })
  } finally {
    undoRelease()
    hold.close()
  }
}

function concludeNonStream(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  answer: { head: AttemptResponse; bodyResult: BodyResult; hold: MemoryHold },
): StreamAttemptResult {
  const { caller } = ctx.opts
  const { server } = tracked.placement
  const { head, bodyResult, hold } = answer
  if (bodyResult.type === 'no_memory') tracked.attempt.cancel()
  if (caller.hasDisconnected)
    return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
  tracked.complete(`status_${head.status}`)
  ctx.placement.exclude(server)
  const isServerFault = head.status >= 500 || bodyResult.type !== 'complete'
  if (bodyResult.type === 'too_long') ctx.recorder.recordUnreachable(server)
  else ctx.recorder.recordResult(server, isServerFault ? 'failed' : 'ok')
  const mayRetry = isServerFault && ctx.retries.mayRunAgain('server_error')
  if (mayRetry && ctx.retries.tryAcquire('server_error')) {
    return { type: 'retry', reason: 'server_error', isCharged: true }
  }
  if (head.status < 300 || bodyResult.type !== 'complete' || state.hasBegun)
    return { type: 'give_up', reason: 'server_failed' }
  return { type: 'done', outcome: relayResponse(ctx, head, bodyResult.body, hold) }
}

function observePrefillSpeed(ctx: RequestContext, tracked: TrackedAttempt): void {
  const { model = '' } = tracked.logEntry
  const prefillMs = elapsedSinceSentMs(ctx, tracked) - tracked.queuedPrefillMs
  const { prefillTokens, meanPrecedingTokens } = tracked.placement
  ctx.opts.node.opts.prefillSpeeds.observe(
    model,
    prefillTokens,
    prefillMs,
    meanPrecedingTokens,
  )
}

/**
 * Decides whether the next model is tried instead of forwarding a response, and acquires a
 * placement for it. Without a server for the next model the response is forwarded.
 */
async function acquireNextModel(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): Promise<boolean> {
  const { logEntry } = tracked
  logEntry.judged = evaluateResponse(ctx, state, head)
  if (logEntry.judged !== 'ask_next') return false
  const next = await ctx.placement.acquire(ctx.models[state.modelIndex + 1])
  if (!next) {
    logEntry.judged = 'no_server_for_next'
    return false
  }
  if (!ctx.retries.tryAcquire('larger_model')) {
    ctx.placement.release(next)
    return false
  }
  state.nextPlacement = next
  // The request may end before it is used.
  ctx.opts.caller.defer(() => {
    if (state.nextPlacement === next) ctx.placement.release(next)
  })
  return true
}

function evaluateResponse(
  ctx: RequestContext,
  state: StreamState,
  head: AttemptResponse,
): Acceptance {
  const { route, node, service } = ctx.opts
  const next = ctx.models[state.modelIndex + 1]
  const nextPlacement = next === undefined ? undefined : ctx.placement.preview(next)
  return evaluateCompletion(
    {
      modelIndex: state.modelIndex,
      modelCount: Math.max(1, ctx.models.length),
      priority: route.priority,
      confidence: head.metadata.confidence,
      nextExpectedFirstByteMs:
        nextPlacement?.expectedFirstByteMs ?? Number.POSITIVE_INFINITY,
      timeToTargetMs: ctx.timeToTargetMs,
      mayRunAgain: ctx.retries.mayRunAgain('larger_model'),
      retryBudgetLeft: node.retryBudget(service.name).remainingFraction,
    },
    node.opts.cascade,
  )
}
