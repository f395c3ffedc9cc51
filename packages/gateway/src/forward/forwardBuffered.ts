/** Forwards a request whose answer is passed on once it is whole. */
import { readWhole, type AttemptAnswer, type BodyOutcome } from './attempt.js'
import { NO_SERVER_RETRY_MS } from './caller.js'
import {
  callerLeft,
  isRefusedByServer,
  passOn,
  refuseUnserved,
  sinceSentMs,
  type UnservedReason,
} from './requestOutcomes.js'
import type { RequestContext, Sent } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import { after } from './timer.js'

/** Largest answer that is held until it is whole, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216

/**
 * Time after which a silent server is given up for another one, in targets: an answer
 * that late has missed its target whatever happens.
 */
const SILENT_TARGETS = 1.6

/** Part of the time left that a send may take if another one can follow. */
const LEFT_PART = 0.5

/** When a caller that found no free server comes back, in milliseconds: a few answers later. */
const RETRY_AFTER_MS = 100

/** What became of one send. */
type SendResult =
  | { readonly type: 'done'; readonly outcome: RequestOutcome }
  /** `isPaid` if the budget of repeats has been charged already. */
  | { readonly type: 'again'; readonly reason: string; readonly isPaid?: boolean }
  | { readonly type: 'give_up'; readonly status: 'server_failed' | 'timeout' }

/**
 * Sends the request until it is answered, may not be sent again, or time is up.
 *
 * @example
 * ctx.finish(await forwardWhole(ctx))
 */
export async function forwardWhole(ctx: RequestContext): Promise<RequestOutcome> {
  for (;;) {
    if (ctx.opts.caller.hasLeft) return { outcome: 'caller_left', status: 0 }
    if (ctx.leftMs <= 0) return endUnserved(ctx, 'timeout')
    const place = ctx.pick(undefined)
    if (!place)
      return endUnserved(ctx, ctx.lines.length > 0 ? 'server_refused' : 'no_server')
    const sent = ctx.send(place, undefined, undefined)
    const result = await conclude(ctx, sent)
    if (result.type === 'done') return result.outcome
    if (result.type === 'give_up') return endUnserved(ctx, result.status)
    ctx.spend(place.server)
    const isPaid = result.isPaid === true || ctx.mayGoOn(result.reason)
    if (!ctx.hasAttemptsLeft || !isPaid) return endUnserved(ctx, 'server_refused')
  }
}

/** Ends a request without a server's answer. */
function endUnserved(ctx: RequestContext, reason: UnservedReason): RequestOutcome {
  const retryMs = reason === 'no_server' ? NO_SERVER_RETRY_MS : RETRY_AFTER_MS
  return refuseUnserved(ctx, reason, retryMs)
}

async function conclude(ctx: RequestContext, sent: Sent): Promise<SendResult> {
  const { caller, route } = ctx.opts
  const { server } = sent.place
  const mayRepeat = route.kind === 'idempotent'
  const canFollow = mayRepeat && ctx.hasAttemptsLeftAfter(server)
  const patienceMs = canFollow
    ? Math.min(ctx.leftMs * LEFT_PART, route.targetMs * SILENT_TARGETS)
    : ctx.leftMs
  let isLate = false
  let isPaid = false
  const giveUp = (): void => {
    isLate = true
    sent.attempt.cancel()
  }
  const timer = after(patienceMs, () => {
    isPaid = canFollow && ctx.takeRepeat('silent')
    if (isPaid || ctx.leftMs <= 0) giveUp()
    else timer.restart(ctx.leftMs)
  })
  caller.onLeft(() => {
    sent.attempt.cancel()
  })
  try {
    const head = await sent.attempt.head
    if (caller.hasLeft) return { type: 'done', outcome: callerLeft(ctx, sent) }
    if (head.type === 'answered') return await concludeAnswer(ctx, sent, head)
    sent.end(isLate ? 'silent' : head.reason)
    if (head.ran === 'not_run') {
      ctx.noteSilence(server)
      return isLate && !canFollow
        ? { type: 'give_up', status: 'timeout' }
        : { type: 'again', reason: head.reason }
    }
    ctx.noteRan(server)
    if (isLate) ctx.noteSilence(server)
    else ctx.noteAnswer(server, 'bad')
    if (mayRepeat && ctx.leftMs > 0) {
      return { type: 'again', reason: isLate ? 'silent' : head.reason, isPaid }
    }
    return { type: 'give_up', status: isLate ? 'timeout' : 'server_failed' }
  } finally {
    timer.cancel()
  }
}

async function concludeAnswer(
  ctx: RequestContext,
  sent: Sent,
  head: AttemptAnswer,
): Promise<SendResult> {
  const { caller, route } = ctx.opts
  const { server } = sent.place
  if (isRefusedByServer(ctx, sent, head)) {
    return { type: 'again', reason: 'server_refused' }
  }
  ctx.noteRan(server)
  const read = await readWhole(sent.attempt, head, MAX_ANSWER_BYTES)
  if (caller.hasLeft) return { type: 'done', outcome: callerLeft(ctx, sent) }
  const isGood = isUsable(head, read)
  const isServerFault = !isGood || head.status >= 500
  const isSlow = ctx.isSlow(server, 'answer', sinceSentMs(ctx, sent))
  ctx.noteAnswer(server, isServerFault ? 'bad' : isSlow ? 'slow' : 'good')
  sent.end(isGood ? `status_${head.status}` : 'broken_answer')
  const mayRepeat = route.kind === 'idempotent' && ctx.hasAttemptsLeft && ctx.leftMs > 0
  const reason = isGood ? 'server_error' : 'broken_answer'
  if (isServerFault && mayRepeat && ctx.takeRepeat(reason)) {
    return { type: 'again', reason, isPaid: true }
  }
  if (!isUsable(head, read)) return { type: 'give_up', status: 'server_failed' }
  return { type: 'done', outcome: passOn(ctx, head, read.body) }
}

/** Whether an answer is whole and a success is truly the server's. */
function isUsable(
  { status, facts }: AttemptAnswer,
  read: BodyOutcome,
): read is Extract<BodyOutcome, { type: 'whole' }> {
  return read.type === 'whole' && (status >= 300 || (facts.isSigned && !facts.isEncoded))
}
