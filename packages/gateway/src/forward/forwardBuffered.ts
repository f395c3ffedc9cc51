/** Forwards requests whose response is buffered until it is complete. */
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
import { REFUSED_ABANDON_INTERVAL_MS } from './inactivityMonitor.js'
import type { RequestContext } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import type { FurtherRunReason } from '../retry/mayRunAgain.js'
import { relayUnbuffered, type UnbufferedResult } from './relayUnbuffered.js'
import { startTimer } from './timer.js'
import { startAttempt, type TrackedAttempt } from './startAttempt.js'

/** Maximum size of a buffered response, in bytes. */
const MAX_RESPONSE_BYTES = 16_777_216

/**
 * Time without a response after which another server is tried, as a multiple of the
 * route's target time: a response that late has already missed its target.
 */
const INACTIVITY_TARGET_FACTOR = 1.6

/**
 * Maximum share of the time until the deadline that an attempt may take if a retry is
 * possible.
 */
const MAX_WAIT_SHARE = 0.5

/**
 * Retry delay sent to refused callers, in milliseconds: the duration of a few
 * responses.
 */
const REFUSED_RETRY_AFTER_MS = 100

/** Result of one attempt. */
type AttemptResult =
  | { readonly type: 'done'; readonly outcome: RequestOutcome }
  /** `isCharged` if the retry has already been charged to the retry budget. */
  | {
      readonly type: 'retry'
      readonly reason: FurtherRunReason
      readonly isCharged?: boolean
    }
  | { readonly type: 'give_up'; readonly reason: 'server_failed' | 'timeout' }

/**
 * Tries servers until one responds, no retry is allowed, or the deadline passes.
 *
 * @example
 * ctx.finish(await forwardBuffered(ctx))
 */
export async function forwardBuffered(ctx: RequestContext): Promise<RequestOutcome> {
  for (;;) {
    ctx.opts.caller.state = 'placement'
    if (ctx.timeToDeadlineMs <= 0) return endUnserved(ctx, 'timeout')
    const trait = ctx.findQuarantinedTrait()
    if (trait !== undefined) return endQuarantined(ctx, trait)
    const model = ctx.models[ctx.singleRunModelIndex]
    const placement = await ctx.placement.acquire(model)
    if (!placement) return endUnplaced(ctx)
    if (ctx.opts.caller.hasDisconnected) {
      ctx.placement.release(placement)
      return { outcome: 'caller_left', status: 0 }
    }
    const tracked = startAttempt(ctx, placement, model, undefined)
    const result = await runAttempt(ctx, tracked)
    if (result.type === 'done') return result.outcome
    if (result.type === 'give_up') return endUnserved(ctx, result.reason)
    ctx.placement.exclude(placement.server)
    const refusal = refuseFurtherRun(ctx, result)
    if (refusal) return endUnserved(ctx, refusal)
    if (await ctx.opts.caller.hasLeft()) return { outcome: 'caller_left', status: 0 }
  }
}

function endQuarantined(ctx: RequestContext, trait: string): RequestOutcome {
  const { reason, part } = describeQuarantine(trait)
  return { ...endUnserved(ctx, reason), ...(part !== undefined && { part }) }
}

/** Answers a request for whose next attempt there is no server. */
function endUnplaced(ctx: RequestContext): RequestOutcome {
  if (ctx.placement.exhaustedLimits.length > 0) return refuseLimited(ctx)
  const unplaced = describeUnplaced(ctx)
  if (unplaced) return refuseUnserved(ctx, unplaced.reason, unplaced.retryAfterMs)
  return endUnserved(ctx, ctx.attemptLog.length > 0 ? 'server_refused' : 'no_server')
}

/** Answers a request that no server has answered. */
function endUnserved(ctx: RequestContext, reason: UnservedReason): RequestOutcome {
  return refuseUnserved(ctx, reason, retryAfterMsOf(reason, REFUSED_RETRY_AFTER_MS))
}

async function runAttempt(
  ctx: RequestContext,
  tracked: TrackedAttempt,
): Promise<AttemptResult> {
  const { caller, route } = ctx.opts
  const { server } = tracked.placement
  const canRetry = ctx.retries.mayRunAgain('silent', server)
  const timeoutMs = canRetry
    ? Math.min(
        ctx.timeToDeadlineMs * MAX_WAIT_SHARE,
        route.targetMs * INACTIVITY_TARGET_FACTOR,
      )
    : ctx.timeToDeadlineMs
  let hasTimedOut = false
  let isCharged = false
  const abandon = (): void => {
    hasTimedOut = true
    tracked.attempt.cancel()
  }
  const timer = startTimer(timeoutMs, () => {
    const hasOther = ctx.placement.preview(tracked.logEntry.model, server) !== undefined
    isCharged = canRetry && hasOther && ctx.retries.tryAcquire('silent')
    if (isCharged || ctx.timeToDeadlineMs <= 0) abandon()
    else timer.restart(timeToNextAskMs(ctx, canRetry))
  })
  caller.onDisconnect(() => {
    tracked.attempt.cancel()
  })
  try {
    const head = await tracked.attempt.head
    if (caller.hasDisconnected)
      return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
    if (head.type === 'answered') return await handleResponse(ctx, tracked, head)
    completeFailed(tracked, head, hasTimedOut)
    if (head.runState === 'not_run') {
      ctx.recorder.recordNotSent(tracked, head)
      if (head.reason === 'unsendable')
        return { type: 'give_up', reason: 'server_failed' }
      return hasTimedOut && !canRetry
        ? { type: 'give_up', reason: 'timeout' }
        : { type: 'retry', reason: head.reason }
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
    timer.cancel()
  }
}

/** Time until a retry is asked for again, or to the deadline if none is possible. */
function timeToNextAskMs(ctx: RequestContext, canRetry: boolean): number {
  const { timeToDeadlineMs } = ctx
  return canRetry
    ? Math.min(timeToDeadlineMs, REFUSED_ABANDON_INTERVAL_MS)
    : timeToDeadlineMs
}

async function handleResponse(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  head: AttemptResponse,
): Promise<AttemptResult> {
  const { caller } = ctx.opts
  const { server } = tracked.placement
  if (isRefusedByServer(ctx, tracked, head)) {
    return { type: 'retry', reason: 'server_refused' }
  }
  ctx.retries.recordMayHaveRun(server)
  const hold = ctx.opts.node.memory.answers.open(ctx.memoryHolder)
  const undoRelease = caller.defer(() => {
    hold.close()
  })
  try {
    const limits = { maxBytes: MAX_RESPONSE_BYTES, budget: hold }
    const bodyResult = await readFullBody(tracked.attempt, head, limits)
    if (caller.hasDisconnected)
      return { type: 'done', outcome: endOnDisconnect(ctx, tracked) }
    return bodyResult.type === 'no_memory'
      ? await handleUnbuffered(ctx, tracked, { head, blocks: bodyResult.blocks, hold })
      : await handleBody(ctx, tracked, { head, bodyResult, hold })
  } finally {
    undoRelease()
    hold.close()
  }
}

/** Handles a response whose body has been read, or has failed. */
async function handleBody(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  answer: { head: AttemptResponse; bodyResult: BodyResult; hold: MemoryHold },
): Promise<AttemptResult> {
  const { route } = ctx.opts
  const { server } = tracked.placement
  const { head, bodyResult, hold } = answer
  const isUsableResponse = isUsable(head, bodyResult)
  const isServerFault = !isUsableResponse || head.status >= 500
  await recordBody(ctx, tracked, bodyResult, { isUsableResponse, status: head.status })
  if (!isServerFault)
    ctx.recorder.recordSpeed(server, route.name, elapsedSinceSentMs(ctx, tracked))
  tracked.complete(isUsableResponse ? `status_${head.status}` : 'broken_answer')
  const reason = isUsableResponse ? 'server_error' : 'broken_answer'
  const mayRetry = isServerFault && ctx.retries.mayRunAgain(reason)
  if (mayRetry && ctx.retries.tryAcquire(reason)) {
    return { type: 'retry', reason, isCharged: true }
  }
  if (!isUsable(head, bodyResult)) return { type: 'give_up', reason: 'server_failed' }
  return { type: 'done', outcome: relayResponse(ctx, head, bodyResult.body, hold) }
}

/** Handles a response whose body finds no memory, which isn't its server's fault. */
async function handleUnbuffered(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  answer: { head: AttemptResponse; blocks: readonly Buffer[]; hold: MemoryHold },
): Promise<AttemptResult> {
  const { head } = answer
  const { server } = tracked.placement
  tracked.logEntry.isUnbuffered = true
  const isUsableResponse = isUsableHead(head)
  const isServerFault = !isUsableResponse || head.status >= 500
  const reason = isUsableResponse ? 'server_error' : 'broken_answer'
  const mayRetry = isServerFault && ctx.retries.mayRunAgain(reason)
  const isRetried = mayRetry && ctx.retries.tryAcquire(reason)
  if (!isRetried && isUsableResponse && canRelayInPart(ctx, head)) {
    const limited = { ...answer, maxBytes: MAX_RESPONSE_BYTES }
    const result = await relayUnbuffered(ctx, tracked, limited)
    return { type: 'done', outcome: await concludeUnbuffered(ctx, tracked, head, result) }
  }
  tracked.attempt.cancel()
  tracked.inFlight.discard()
  if (isServerFault) ctx.recorder.recordResult(server, 'failed')
  tracked.complete(isUsableResponse ? `status_${head.status}` : 'broken_answer')
  return isRetried
    ? { type: 'retry', reason, isCharged: true }
    : { type: 'give_up', reason: 'server_failed' }
}

/** Whether a caller can tell that a response is incomplete when its connection is closed. */
function canRelayInPart({ opts }: RequestContext, { res }: AttemptResponse): boolean {
  return 'content-length' in res.headers || opts.caller.req.httpVersion !== '1.0'
}

async function concludeUnbuffered(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  { status }: AttemptResponse,
  result: UnbufferedResult,
): Promise<RequestOutcome> {
  const { recorder } = ctx
  const { server } = tracked.placement
  if (result === 'caller_left') return endOnDisconnect(ctx, tracked)
  tracked.complete(result === 'complete' ? `status_${status}` : result)
  if (result === 'complete') {
    if (status < 300) tracked.inFlight.recordSound(tracked.sentAtMs)
    else tracked.inFlight.discard()
    recorder.recordResult(server, status < 500 ? 'ok' : 'failed')
    return { outcome: 'answered', status }
  }
  if (result === 'broken') await recorder.recordLostConnection(tracked)
  else tracked.inFlight.discard()
  if (result === 'endless') recorder.recordUnreachable(server)
  if (result === 'reader_stalled')
    ctx.opts.node.opts.metrics.stalledTransfers.inc({ kind: 'answer' })
  const isServerFault = result === 'broken' || result === 'endless'
  const reason = isServerFault ? 'server_failed' : result
  return { outcome: 'broken_off', status, reason }
}

/** Records what a body tells about its server, also whether that lived to complete it. */
async function recordBody(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  { type }: BodyResult,
  { isUsableResponse, status }: { isUsableResponse: boolean; status: number },
): Promise<void> {
  const { recorder, retries } = ctx
  const { server } = tracked.placement
  if (type === 'broken') {
    retries.recordBadConnection()
    await recorder.recordLostConnection(tracked)
    return
  }
  if (!isUsableResponse) await recorder.recordBroken(tracked)
  else if (status < 300) tracked.inFlight.recordSound(tracked.sentAtMs)
  else tracked.inFlight.discard()
  if (type === 'too_long') recorder.recordUnreachable(server)
  else recorder.recordResult(server, isUsableResponse && status < 500 ? 'ok' : 'failed')
}

/** Whether a response is complete and, unless it is an error, signed and not encoded. */
function isUsable(
  head: AttemptResponse,
  body: BodyResult,
): body is Extract<BodyResult, { type: 'complete' }> {
  return body.type === 'complete' && isUsableHead(head)
}

/** Whether a response is an error, or signed and not encoded. */
function isUsableHead({ status, metadata: meta }: AttemptResponse): boolean {
  return status >= 300 || (meta.isSigned && !meta.isEncoded)
}
