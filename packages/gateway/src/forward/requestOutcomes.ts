/** Request outcomes shared by streamed and buffered forwarding. */
import type { AttemptResponse } from './attempt.js'
import type { RefusalReason } from './caller.js'
import type { RequestContext, TrackedAttempt } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'

/** Status of a server that is not the instance to which the request was addressed. */
const MISDIRECTED_REQUEST = 421

/** Why a request ends without a response from a server. */
export type UnservedReason = Extract<
  RefusalReason,
  'timeout' | 'no_server' | 'overloaded' | 'server_refused' | 'server_failed'
>

/** Completes an attempt whose caller has disconnected. */
export function endOnDisconnect(
  ctx: RequestContext,
  tracked: TrackedAttempt,
): RequestOutcome {
  tracked.complete('caller_left')
  if (tracked.attempt.ran === 'may_have_run') ctx.noteMayHaveRun(tracked.place.server)
  return { outcome: 'caller_left', status: 0 }
}

/**
 * Whether the server reports that it has not run the request. If so, completes the
 * attempt and excludes the server from further attempts. If the address now belongs to
 * another instance, also removes the server from the server table.
 */
export function isRefusedByServer(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  { status, facts, res }: AttemptResponse,
): boolean {
  const isMisdirected = status === MISDIRECTED_REQUEST
  if (!facts.wasNotExecuted && !isMisdirected) return false
  const { server } = tracked.place
  res.resume()
  tracked.complete(`refused_${status}`)
  ctx.exclude(server)
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
 *   the request has not run. Up to as much again is added as jitter.
 */
export function refuseUnserved(
  ctx: RequestContext,
  reason: UnservedReason,
  retryAfterMs: number,
): RequestOutcome {
  const { caller, node } = ctx.opts
  if (caller.hasDisconnected) return { outcome: 'caller_left', status: 0 }
  if (ctx.mayHaveRun) {
    const reportedReason = reason === 'timeout' ? 'timeout' : 'server_failed'
    return {
      outcome: 'failed',
      status: caller.refuse(reportedReason),
      reason: reportedReason,
    }
  }
  const reportedReason = REASON_IF_NOT_RUN[reason] ?? reason
  const status = caller.refuse(reportedReason, retryAfterMs * (1 + node.opts.random()))
  return { outcome: 'refused', status, reason: reportedReason }
}

/**
 * Replacements, for requests that have not run, of reasons whose status would leave open
 * whether they have.
 */
const REASON_IF_NOT_RUN: Readonly<Partial<Record<UnservedReason, RefusalReason>>> = {
  timeout: 'overloaded',
  server_failed: 'server_refused',
}

/** Sends a server's fully read response to the caller. */
export function relayResponse(
  ctx: RequestContext,
  { status, res }: AttemptResponse,
  body: Buffer,
): RequestOutcome {
  const { caller, node } = ctx.opts
  caller.res.writeHead(status, [
    ...node.opts.dialect.callerResponseHeaders(res.rawHeaders),
    'Content-Length',
    String(body.length),
  ])
  caller.res.end(body)
  return { outcome: 'answered', status }
}

/** Time since an attempt was sent, in milliseconds. */
export function elapsedSinceSentMs(ctx: RequestContext, tracked: TrackedAttempt): number {
  const { caller, node } = ctx.opts
  return node.opts.clock() - caller.arrivedAtMs - tracked.line.sentAtMs
}
