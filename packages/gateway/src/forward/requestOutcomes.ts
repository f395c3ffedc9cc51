/** Request outcomes shared by streamed and buffered forwarding. */
import { discardBody } from '@wagtailway/core'
import type { FurtherRunReason } from '../retry/mayRunAgain.js'
import { contentIdOf } from '../quarantine/requestTrait.js'
import type { MemoryHold } from '../memory/memoryShare.js'
import { MISDIRECTED_REQUEST } from '../model/requestMetadata.js'
import type { AttemptFailure, AttemptResponse } from './attempt.js'
import { NO_SERVER_RETRY_AFTER_MS, type RefusalReason } from './caller.js'
import type { RequestContext } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import { writeAnswer } from './writeAnswer.js'
import type { TrackedAttempt } from './startAttempt.js'

/** Why a request ends without a response from a server. */
export type UnservedReason = Extract<
  RefusalReason,
  | 'timeout'
  | 'no_server'
  | 'overloaded'
  | 'server_refused'
  | 'server_failed'
  | 'part_quarantined'
  | 'request_quarantined'
  | 'servers_limited'
  | 'servers_held'
  | 'servers_full'
  | 'servers_cold'
  | 'shed'
  | 'over_share'
>

/**
 * Retry delay sent to callers whose request holds a quarantined part, in milliseconds: long,
 * because only a probe can end the quarantine.
 */
const QUARANTINED_RETRY_AFTER_MS = 10_000

/** Longest detail of a failed attempt in its log line, in characters. */
const MAX_LOGGED_DETAIL = 120

/** Maximum number of rate-limited servers in one log line. */
const MAX_LOGGED_LIMITS = 6

/** Retry delays of reasons that need another one than the kind of request has. */
const RETRY_AFTER_MS_BY_REASON: Readonly<Partial<Record<UnservedReason, number>>> = {
  no_server: NO_SERVER_RETRY_AFTER_MS,
  part_quarantined: QUARANTINED_RETRY_AFTER_MS,
}

/**
 * Retry delay sent to a caller, in milliseconds; `undefined` if a retry is of no use, because
 * the same request will be refused again.
 *
 * @param defaultMs Delay of the kind of request.
 */
export function retryAfterMsOf(
  reason: UnservedReason,
  defaultMs: number,
): number | undefined {
  if (reason === 'request_quarantined') return undefined
  return RETRY_AFTER_MS_BY_REASON[reason] ?? defaultMs
}

/** Completes an attempt whose caller has disconnected. */
export function endOnDisconnect(
  ctx: RequestContext,
  tracked: TrackedAttempt,
): RequestOutcome {
  tracked.complete('caller_left')
  if (tracked.attempt.runState === 'may_have_run')
    ctx.retries.recordMayHaveRun(tracked.placement.server)
  return { outcome: 'caller_left', status: 0 }
}

/**
 * Why a request gets no further server after an attempt; `undefined` if it gets one.
 *
 * @param retry Reason for a further server; `isCharged` if it has already been charged to the
 *   retry budget.
 */
export function refuseFurtherRun(
  ctx: RequestContext,
  { reason, isCharged = false }: { reason: FurtherRunReason; isCharged?: boolean },
): UnservedReason | undefined {
  if (ctx.timeToDeadlineMs <= 0) return 'timeout'
  if (!ctx.retries.mayRunAgain(reason)) return 'server_failed'
  if (!isCharged && !ctx.retries.mayRetryAfter(reason)) return 'server_refused'
  return ctx.recorder.mayCrashServers ? 'server_refused' : undefined
}

/** Completes an attempt that got no usable response. */
export function completeFailed(
  tracked: TrackedAttempt,
  { reason, detail }: AttemptFailure,
  hasTimedOut: boolean,
): void {
  if (!hasTimedOut) tracked.logEntry.detail = detail.slice(0, MAX_LOGGED_DETAIL)
  tracked.complete(hasTimedOut ? 'silent' : reason)
}

/**
 * Whether the server reports that it has not run the request. If so, completes the
 * attempt and excludes the server from further attempts. If the address now belongs to
 * another instance, also removes the server from the server table.
 */
export function isRefusedByServer(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  { status, metadata, res }: AttemptResponse,
): boolean {
  const isMisdirected = status === MISDIRECTED_REQUEST
  if (!metadata.wasNotExecuted && !isMisdirected) return false
  const { server } = tracked.placement
  discardBody(res)
  tracked.complete(`refused_${status}`)
  tracked.inFlight.discard()
  ctx.placement.exclude(server)
  const { places, statements } = ctx.opts.node.opts
  if (!isMisdirected && statements.heldForMs(server) === 0) places.recordRefusal(server)
  if (isMisdirected) {
    ctx.opts.node.opts.servers.apply([{ id: server.id, server: undefined }])
  }
  return true
}

/**
 * Answers a request that no server has answered. The status reflects whether the
 * request may have run.
 *
 * @param retryAfterMs Minimum delay before the caller retries, in milliseconds, sent if
 *   the request has not run; `undefined` if a retry is of no use.
 * @param jitterShare Share of the delay up to which is added as jitter.
 */
export function refuseUnserved(
  ctx: RequestContext,
  reason: UnservedReason,
  retryAfterMs: number | undefined,
  jitterShare = 1,
): RequestOutcome {
  const { caller, node } = ctx.opts
  if (caller.hasDisconnected) return { outcome: 'caller_left', status: 0 }
  if (ctx.retries.mayHaveRun) {
    const reportedReason = reason === 'timeout' ? 'timeout' : 'server_failed'
    return {
      outcome: 'failed',
      status: caller.refuse(reportedReason),
      reason: reportedReason,
    }
  }
  const reportedReason = REASON_IF_NOT_RUN[reason] ?? reason
  const delayMs = retryAfterMs && retryAfterMs * (1 + jitterShare * node.opts.random())
  const status = caller.refuse(reportedReason, delayMs)
  return { outcome: 'refused', status, reason: reportedReason }
}

/** Why a request with a quarantined trait is refused, as it is logged. */
export function describeQuarantine(
  trait: string,
): Pick<RequestOutcome, 'part'> & { readonly reason: UnservedReason } {
  return contentIdOf(trait) === undefined
    ? { reason: 'part_quarantined', part: trait }
    : { reason: 'request_quarantined' }
}

/**
 * Answers a request that only rate-limited servers could take, and none of them now. Callers
 * are told successive times to return, at which the limits have room for them.
 */
export function refuseLimited(ctx: RequestContext): RequestOutcome {
  const { caller, node, service } = ctx.opts
  const { exhaustedLimits } = ctx.placement
  const { log, limiter } = node.opts
  const retryAfterMs = limiter.returnDelayMs(service.name, exhaustedLimits)
  log('request_limited', {
    id: caller.metadata.requestId,
    service: service.name,
    retryAfterMs: Math.round(retryAfterMs),
    limitCount: exhaustedLimits.length,
    limits: exhaustedLimits.slice(0, MAX_LOGGED_LIMITS),
  })
  return refuseUnserved(ctx, 'servers_limited', retryAfterMs, 0)
}

/**
 * Why no server could get a request although there are some, and when its caller should
 * return; `undefined` if there are none or another reason holds.
 */
export function describeUnplaced(
  ctx: RequestContext,
): { reason: UnservedReason; retryAfterMs: number } | undefined {
  const { places, warmup, log } = ctx.opts.node.opts
  const { heldForMs, isFull, cold } = ctx.placement
  if (cold) {
    const { serverCount, forMs } = cold
    const { name: service } = ctx.opts.service
    const id = ctx.opts.caller.metadata.requestId
    log('request_cold', { id, service, serverCount, forMs: Math.round(forMs) })
    return { reason: 'servers_cold', retryAfterMs: warmup.returnDelayMs(forMs) }
  }
  if (heldForMs !== undefined) return { reason: 'servers_held', retryAfterMs: heldForMs }
  if (!isFull) return undefined
  return { reason: 'servers_full', retryAfterMs: places.returnDelayMs() }
}

/**
 * Reasons that are reported instead if a request has not run, because the status of the
 * original reason would leave that open.
 */
const REASON_IF_NOT_RUN: Readonly<Partial<Record<UnservedReason, RefusalReason>>> = {
  timeout: 'overloaded',
  server_failed: 'server_refused',
}

/**
 * Sends a server's fully read response to the caller.
 *
 * @param hold Memory of the body.
 */
export function relayResponse(
  ctx: RequestContext,
  { status, res }: AttemptResponse,
  body: readonly Buffer[],
  hold: MemoryHold,
): RequestOutcome {
  const { caller, node } = ctx.opts
  caller.writeHead(status, [
    ...node.opts.dialect.callerResponseHeaders(res.rawHeaders),
    'Content-Length',
    String(body.reduce((sum, { length }) => sum + length, 0)),
  ])
  writeAnswer(caller.res, body, hold, (stalledMs) => {
    node.opts.metrics.stalledTransfers.inc({ kind: 'answer' })
    node.opts.log('answer_stalled', {
      id: caller.metadata.requestId,
      stalledMs: Math.round(stalledMs),
      heldBytes: hold.heldBytes,
    })
  })
  return { outcome: 'answered', status }
}

/** Time since an attempt was sent, in milliseconds. */
export function elapsedSinceSentMs(ctx: RequestContext, tracked: TrackedAttempt): number {
  const { caller, node } = ctx.opts
  return node.opts.clock() - caller.arrivedAtMs - tracked.logEntry.sentAtMs
}
