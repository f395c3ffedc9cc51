/**
 * Forwards event streams. Relays the first response that is confident enough; if its
 * server fails, another server continues the stream after the last event relayed.
 */
import { evaluateCompletion } from '../cascade/cascade.js'
import { readFullBody, type AttemptResponse } from './attempt.js'
import { NO_SERVER_RETRY_AFTER_MS } from './caller.js'
import {
  elapsedSinceSentMs,
  endOnDisconnect,
  isRefusedByServer,
  refuseUnserved,
  relayResponse,
  type UnservedReason,
} from './requestOutcomes.js'
import { relayEvents, type RelayResult } from './relayEvents.js'
import type { RequestContext, TrackedAttempt } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import { monitorInactivity } from './inactivityMonitor.js'
import { startTimer } from './timer.js'

/** Maximum size of a response that is not a stream, such as an error, in bytes. */
const MAX_NON_STREAM_BYTES = 1_048_576

/**
 * Before the response head, a server counts as inactive after this multiple of the
 * expected time to the first event, plus the time given by `MAX_PREFILL_MS_PER_TOKEN`.
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
 * Maximum inactivity timeout as a share of the time left until the deadline, so that
 * another server still has time to respond.
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
}

type StreamAttemptResult =
  | { readonly type: 'done'; readonly outcome: RequestOutcome }
  | { readonly type: 'retry'; readonly reason: string; readonly isCharged?: boolean }
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
    modelIndex: 0,
    hasBegun: false,
    lastEventId: caller.facts.lastEventId,
  }
  for (;;) {
    if (caller.hasDisconnected) return { outcome: 'caller_left', status: 0 }
    if (ctx.leftMs <= 0) return endUnserved(ctx, state, 'timeout')
    const model = ctx.models[state.modelIndex]
    const placement = ctx.selectPlacement(model)
    if (!placement) return endUnserved(ctx, state, 'no_server')
    if (!state.hasBegun && placement.expectedFirstByteMs > ctx.leftMs) {
      return endUnserved(
        ctx,
        state,
        'overloaded',
        placement.expectedFirstByteMs - ctx.leftMs,
      )
    }
    const tracked = ctx.startAttempt(placement, model, state.lastEventId)
    const result = await runAttempt(ctx, state, tracked)
    if (result.type === 'done') return result.outcome
    if (result.type === 'give_up') return endUnserved(ctx, state, result.reason)
    const isRetryAllowed = result.isCharged === true || ctx.mayRetryAfter(result.reason)
    if (!ctx.hasAttemptsLeft || !isRetryAllowed) {
      return endUnserved(ctx, state, 'server_refused')
    }
  }
}

/**
 * Ends a stream that cannot be completed. If it has already begun, its connection is
 * closed, so that the caller can tell that it is incomplete.
 *
 * @param serverFreeInMs Excess of the expected time to the first event over the time
 *   left.
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
  const retryAfterMs =
    reason === 'no_server' ? NO_SERVER_RETRY_AFTER_MS : REFUSED_RETRY_AFTER_MS
  return refuseUnserved(ctx, reason, retryAfterMs + serverFreeInMs)
}

async function runAttempt(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
): Promise<StreamAttemptResult> {
  const { caller, route } = ctx.opts
  const { server } = tracked.place
  const canRetry = route.isResumable && ctx.hasAttemptsLeftAfter(server)
  const maxPrefillMs = caller.facts.promptTokens * MAX_PREFILL_MS_PER_TOKEN
  const inactivityMs = Math.max(
    route.targetMs * MIN_INACTIVITY_TARGET_SHARE,
    maxPrefillMs + tracked.place.expectedFirstByteMs * INACTIVITY_FACTOR,
  )
  let hasTimedOut = false
  let isCharged = false
  const monitor = monitorInactivity({
    server,
    inactivityMs: Math.min(ctx.leftMs * MAX_WAIT_SHARE, inactivityMs),
    mayAbandon: () => canRetry && ctx.takeRetry('silent'),
    onInactive: () => {
      isCharged = true
      hasTimedOut = true
      tracked.attempt.cancel()
    },
  })
  const deadline = startTimer(ctx.leftMs, () => {
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
    tracked.complete(hasTimedOut ? 'silent' : head.reason)
    ctx.exclude(server)
    if (head.ran === 'not_run') {
      ctx.noteUnreachable(server)
      return { type: 'retry', reason: head.reason }
    }
    ctx.noteMayHaveRun(server)
    if (hasTimedOut) ctx.noteUnreachable(server)
    else ctx.noteResponse(server, 'bad')
    if (canRetry && ctx.leftMs > 0) {
      return { type: 'retry', reason: hasTimedOut ? 'silent' : head.reason, isCharged }
    }
    return { type: 'give_up', reason: hasTimedOut ? 'timeout' : 'server_failed' }
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
  const { route, node } = ctx.opts
  const { server } = tracked.place
  if (isRefusedByServer(ctx, tracked, head)) {
    return { type: 'retry', reason: 'server_refused' }
  }
  ctx.noteMayHaveRun(server)
  if (head.status !== 200) return await handleNonStreamResponse(ctx, state, tracked, head)
  if (!head.facts.isSigned || head.facts.isEncoded) {
    tracked.attempt.cancel()
    tracked.complete('broken_answer')
    ctx.exclude(server)
    ctx.noteResponse(server, 'bad')
    if (route.isResumable) return { type: 'retry', reason: 'broken_answer' }
    return { type: 'give_up', reason: 'server_failed' }
  }
  tracked.line.confidence = head.facts.confidence
  tracked.notePrefillDone()
  observePrefillSpeed(ctx, tracked)
  if (!state.hasBegun && shouldTryNextModel(ctx, state, tracked, head)) {
    tracked.attempt.cancel()
    tracked.complete('not_sure_enough')
    node.opts.health.note(server.id, true)
    state.modelIndex += 1
    return { type: 'retry', reason: 'larger_model', isCharged: true }
  }
  return concludeStream(ctx, state, tracked, await relayEvents(ctx, state, tracked, head))
}

function concludeStream(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  relayResult: RelayResult,
): StreamAttemptResult {
  const { route } = ctx.opts
  const { server } = tracked.place
  tracked.complete(relayResult)
  switch (relayResult) {
    case 'complete':
      ctx.noteResponse(server, isSlowStream(ctx, tracked) === true ? 'slow' : 'good')
      return { type: 'done', outcome: { outcome: 'answered', status: 200 } }
    case 'caller_left':
      noteStreamSpeed(ctx, tracked)
      return { type: 'done', outcome: { outcome: 'caller_left', status: 0 } }
    case 'timeout':
      noteStreamSpeed(ctx, tracked)
      return { type: 'give_up', reason: 'timeout' }
    case 'gap':
    case 'broken':
    case 'silent':
      ctx.exclude(server)
      if (relayResult === 'silent') ctx.noteUnreachable(server)
      else ctx.noteResponse(server, 'bad')
      if (route.isResumable && relayResult !== 'gap') {
        return { type: 'retry', reason: relayResult, isCharged: relayResult === 'silent' }
      }
      return { type: 'give_up', reason: 'server_failed' }
  }
}

/**
 * Records the speed of an incomplete stream too, because slow streams are the ones most
 * often cancelled or timed out.
 */
function noteStreamSpeed(ctx: RequestContext, tracked: TrackedAttempt): void {
  const isSlow = isSlowStream(ctx, tracked)
  if (isSlow !== undefined)
    ctx.noteResponse(tracked.place.server, isSlow ? 'slow' : 'good')
}

/** Whether events arrived far slower than usual; `undefined` if there were too few. */
function isSlowStream(ctx: RequestContext, tracked: TrackedAttempt): boolean | undefined {
  const { quickPauseMs, model } = tracked.line
  if (quickPauseMs === undefined) return undefined
  return ctx.isSlow(
    tracked.place.server,
    `pause of ${model ?? 'any model'}`,
    quickPauseMs,
  )
}

/** Handles a response that is not a stream, such as a server error. */
async function handleNonStreamResponse(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): Promise<StreamAttemptResult> {
  const { caller, route } = ctx.opts
  const { server } = tracked.place
  const bodyResult = await readFullBody(tracked.attempt, head, MAX_NON_STREAM_BYTES)
  if (caller.hasDisconnected)
    return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
  tracked.complete(`status_${head.status}`)
  ctx.exclude(server)
  const isServerFault = head.status >= 500 || bodyResult.type === 'broken'
  ctx.noteResponse(server, isServerFault ? 'bad' : 'good')
  const mayRetry = route.isResumable && ctx.hasAttemptsLeft
  if (isServerFault && mayRetry && ctx.takeRetry('server_error')) {
    return { type: 'retry', reason: 'server_error', isCharged: true }
  }
  const isUnusable = head.status < 300 || bodyResult.type === 'broken' || state.hasBegun
  if (isUnusable) return { type: 'give_up', reason: 'server_failed' }
  return { type: 'done', outcome: relayResponse(ctx, head, bodyResult.body) }
}

function observePrefillSpeed(ctx: RequestContext, tracked: TrackedAttempt): void {
  const { model = '' } = tracked.line
  const prefillMs = elapsedSinceSentMs(ctx, tracked) - tracked.queuedPrefillMs
  const { prefillTokens: tokensToRead, meanPrecedingTokens: tokensBefore } = tracked.place
  ctx.opts.node.opts.prefillSpeeds.observe(model, tokensToRead, prefillMs, tokensBefore)
}

function shouldTryNextModel(
  ctx: RequestContext,
  state: StreamState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): boolean {
  const { route, node, service } = ctx.opts
  const next = ctx.models[state.modelIndex + 1]
  const acceptance = evaluateCompletion(
    {
      modelIndex: state.modelIndex,
      modelCount: Math.max(1, ctx.models.length),
      priority: route.priority,
      confidence: head.facts.confidence,
      nextExpectedFirstByteMs:
        next === undefined ? 0 : (ctx.selectPlacement(next)?.expectedFirstByteMs ?? 0),
      timeToTargetMs: ctx.timeToTargetMs,
      hasAttemptsLeft: ctx.hasAttemptsLeft,
      retryBudgetLeft: node.retryBudget(service.name).remainingShare,
    },
    node.opts.cascade,
  )
  tracked.line.judged = acceptance
  return acceptance === 'ask_next' && ctx.takeRetry('larger_model')
}
