/** How requests of all kinds end, and what their answers have in common. */
import type { AttemptAnswer } from './attempt.js'
import type { OwnReason } from './caller.js'
import type { RequestContext, Sent } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'

/** Status by which a server says that it isn't the one that was expected. */
const MISDIRECTED = 421

/** Why a request ends without a server's answer. */
export type UnservedReason = Extract<
  OwnReason,
  'timeout' | 'no_server' | 'overloaded' | 'server_refused' | 'server_failed'
>

/** Ends the accounts of a send whose caller has left. */
export function callerLeft(ctx: RequestContext, sent: Sent): RequestOutcome {
  sent.end('caller_left')
  if (sent.attempt.ran === 'may_have_run') ctx.noteRan(sent.place.server)
  return { outcome: 'caller_left', status: 0 }
}

/** Whether the server says that it has not run the request; ends the send if so. */
export function isRefusedByServer(
  ctx: RequestContext,
  sent: Sent,
  { status, facts, res }: AttemptAnswer,
): boolean {
  const isMisdirected = status === MISDIRECTED
  if (!facts.wasNotExecuted && !isMisdirected) return false
  const { server } = sent.place
  res.resume()
  sent.end(`refused_${status}`)
  ctx.spend(server)
  if (isMisdirected) {
    ctx.opts.node.opts.servers.apply([{ id: server.id, server: undefined }])
  }
  return true
}

/**
 * Answers for a request that no server has answered, truthfully about whether it ran.
 *
 * @param retryMs Shortest time until the caller may come back, if it has not run.
 */
export function refuseUnserved(
  ctx: RequestContext,
  reason: UnservedReason,
  retryMs: number,
): RequestOutcome {
  const { caller, node } = ctx.opts
  if (caller.hasLeft) return { outcome: 'caller_left', status: 0 }
  if (ctx.mayHaveRun) {
    const told = reason === 'timeout' ? 'timeout' : 'server_failed'
    return { outcome: 'failed', status: caller.refuse(told), reason: told }
  }
  const told = NOT_RUN_REASON[reason] ?? reason
  const status = caller.refuse(told, retryMs * (1 + node.opts.random()))
  return { outcome: 'refused', status, reason: told }
}

/** Reasons that would leave open whether a request has run. */
const NOT_RUN_REASON: Readonly<Partial<Record<UnservedReason, OwnReason>>> = {
  timeout: 'overloaded',
  server_failed: 'server_refused',
}

/** Passes a whole answer on. */
export function passOn(
  ctx: RequestContext,
  { status, res }: AttemptAnswer,
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

/** Time since a send began, in milliseconds. */
export function sinceSentMs(ctx: RequestContext, sent: Sent): number {
  const { caller, node } = ctx.opts
  return node.opts.clock() - caller.arrivedAtMs - sent.line.sentAtMs
}
