/**
 * Forwards a stream of events: the first answer that is good enough, continued at
 * another server from the last event if its server breaks off.
 */
import { judgeCompletion } from '../cascade/cascade.js'
import { readWhole, type AttemptAnswer } from './attempt.js'
import { NO_SERVER_RETRY_MS } from './caller.js'
import {
  callerLeft,
  isRefusedByServer,
  passOn,
  refuseUnserved,
  sinceSentMs,
  type UnservedReason,
} from './requestOutcomes.js'
import { pumpEvents, type PumpEnd } from './relayEvents.js'
import type { RequestContext, Sent } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'
import { watchSilence } from './inactivityMonitor.js'
import { after } from './timer.js'

/** Largest answer without events, such as an error, in bytes. */
const MAX_PLAIN_BYTES = 1_048_576

/** A server is silent after this many times the expected time to the first event... */
const SILENT_FACTOR = 3

/** ...and the time in which a large model on a busy engine reads the prompt, a token... */
const LONGEST_MS_PER_TOKEN = 0.06

/** ...but not before this part of the target: an engine may have other work first. */
const LEAST_SILENCE_PART = 0.55

/** Part of the time left after which waiting for the first event gives way to another server. */
const LEFT_PART = 0.6

/** When a caller comes back that was refused, in milliseconds, beside the queue's length. */
const RETRY_AFTER_MS = 300

/** State of a stream across its sends. */
interface StreamState {
  /** Place of the model in the route's list. */
  modelIndex: number
  hasBegun: boolean
  lastEventId: number | undefined
}

type StreamStep =
  | { readonly type: 'done'; readonly outcome: RequestOutcome }
  | { readonly type: 'again'; readonly reason: string; readonly isPaid?: boolean }
  | { readonly type: 'give_up'; readonly reason: 'server_failed' | 'timeout' }

/**
 * Sends the request until its stream is complete, may not go on, or time is up.
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
    if (caller.hasLeft) return { outcome: 'caller_left', status: 0 }
    if (ctx.leftMs <= 0) return endUnserved(ctx, state, 'timeout')
    const model = ctx.models[state.modelIndex]
    const place = ctx.pick(model)
    if (!place) return endUnserved(ctx, state, 'no_server')
    if (!state.hasBegun && place.expectedMs > ctx.leftMs) {
      return endUnserved(ctx, state, 'overloaded', place.expectedMs - ctx.leftMs)
    }
    const sent = ctx.send(place, model, state.lastEventId)
    const step = await oneSend(ctx, state, sent)
    if (step.type === 'done') return step.outcome
    if (step.type === 'give_up') return endUnserved(ctx, state, step.reason)
    const isPaid = step.isPaid === true || ctx.mayGoOn(step.reason)
    if (!ctx.hasAttemptsLeft || !isPaid) {
      return endUnserved(ctx, state, 'server_refused')
    }
  }
}

/** Ends a stream without its last event; one that has begun is visibly broken off. */
function endUnserved(
  ctx: RequestContext,
  state: StreamState,
  reason: UnservedReason,
  freeInMs = 0,
): RequestOutcome {
  const { caller } = ctx.opts
  if (state.hasBegun && !caller.hasLeft) {
    caller.res.destroy()
    return { outcome: 'broken_off', status: 200, reason }
  }
  const retryMs = reason === 'no_server' ? NO_SERVER_RETRY_MS : RETRY_AFTER_MS
  return refuseUnserved(ctx, reason, retryMs + freeInMs)
}

async function oneSend(
  ctx: RequestContext,
  state: StreamState,
  sent: Sent,
): Promise<StreamStep> {
  const { caller, route } = ctx.opts
  const { server } = sent.place
  const canFollow = route.isResumable && ctx.hasAttemptsLeftAfter(server)
  const readingMs = caller.facts.promptTokens * LONGEST_MS_PER_TOKEN
  const silentMs = Math.max(
    route.targetMs * LEAST_SILENCE_PART,
    readingMs + sent.place.expectedMs * SILENT_FACTOR,
  )
  let isLate = false
  let isPaid = false
  const watch = watchSilence({
    server,
    silentMs: Math.min(ctx.leftMs * LEFT_PART, silentMs),
    mayGiveUp: () => canFollow && ctx.takeRepeat('silent'),
    onSilent: () => {
      isPaid = true
      isLate = true
      sent.attempt.cancel()
    },
  })
  const deadline = after(ctx.leftMs, () => {
    isLate = true
    sent.attempt.cancel()
  })
  caller.onLeft(() => {
    sent.attempt.cancel()
  })
  try {
    const head = await sent.attempt.head
    watch.cancel()
    if (caller.hasLeft) return { type: 'done', outcome: callerLeft(ctx, sent) }
    if (head.type === 'answered') return await answered(ctx, state, sent, head)
    sent.end(isLate ? 'silent' : head.reason)
    ctx.spend(server)
    if (head.ran === 'not_run') {
      ctx.noteSilence(server)
      return { type: 'again', reason: head.reason }
    }
    ctx.noteRan(server)
    if (isLate) ctx.noteSilence(server)
    else ctx.noteAnswer(server, 'bad')
    if (canFollow && ctx.leftMs > 0) {
      return { type: 'again', reason: isLate ? 'silent' : head.reason, isPaid }
    }
    return { type: 'give_up', reason: isLate ? 'timeout' : 'server_failed' }
  } finally {
    watch.cancel()
    deadline.cancel()
  }
}

async function answered(
  ctx: RequestContext,
  state: StreamState,
  sent: Sent,
  head: AttemptAnswer,
): Promise<StreamStep> {
  const { route, node } = ctx.opts
  const { server } = sent.place
  if (isRefusedByServer(ctx, sent, head)) {
    return { type: 'again', reason: 'server_refused' }
  }
  ctx.noteRan(server)
  if (head.status !== 200) return await plainAnswer(ctx, state, sent, head)
  if (!head.facts.isSigned || head.facts.isEncoded) {
    sent.attempt.cancel()
    sent.end('broken_answer')
    ctx.spend(server)
    ctx.noteAnswer(server, 'bad')
    if (route.isResumable) return { type: 'again', reason: 'broken_answer' }
    return { type: 'give_up', reason: 'server_failed' }
  }
  sent.line.confidence = head.facts.confidence
  sent.promptRead()
  observeSpeed(ctx, sent)
  if (!state.hasBegun && asksNextModel(ctx, state, sent, head)) {
    sent.attempt.cancel()
    sent.end('not_sure_enough')
    node.opts.health.note(server.id, true)
    state.modelIndex += 1
    return { type: 'again', reason: 'larger_model', isPaid: true }
  }
  return concludeStream(ctx, state, sent, await pumpEvents(ctx, state, sent, head))
}

function concludeStream(
  ctx: RequestContext,
  state: StreamState,
  sent: Sent,
  end: PumpEnd,
): StreamStep {
  const { route } = ctx.opts
  const { server } = sent.place
  sent.end(end)
  switch (end) {
    case 'complete':
      ctx.noteAnswer(server, isSlowStream(ctx, sent) === true ? 'slow' : 'good')
      return { type: 'done', outcome: { outcome: 'answered', status: 200 } }
    case 'caller_left':
      noteSpeed(ctx, sent)
      return { type: 'done', outcome: { outcome: 'caller_left', status: 0 } }
    case 'timeout':
      noteSpeed(ctx, sent)
      return { type: 'give_up', reason: 'timeout' }
    case 'gap':
    case 'broken':
    case 'silent':
      ctx.spend(server)
      if (end === 'silent') ctx.noteSilence(server)
      else ctx.noteAnswer(server, 'bad')
      if (route.isResumable && end !== 'gap') {
        return { type: 'again', reason: end, isPaid: end === 'silent' }
      }
      return { type: 'give_up', reason: 'server_failed' }
  }
}

/** Notes how fast the events of an unfinished stream came: slow ones end early most often. */
function noteSpeed(ctx: RequestContext, sent: Sent): void {
  const isSlow = isSlowStream(ctx, sent)
  if (isSlow !== undefined) ctx.noteAnswer(sent.place.server, isSlow ? 'slow' : 'good')
}

/** Whether events came far slower than usual; `undefined` if too few came to tell. */
function isSlowStream(ctx: RequestContext, sent: Sent): boolean | undefined {
  const { quickPauseMs, model } = sent.line
  if (quickPauseMs === undefined) return undefined
  return ctx.isSlow(sent.place.server, `pause of ${model ?? 'any model'}`, quickPauseMs)
}

/** An answer without events, such as an error of the server. */
async function plainAnswer(
  ctx: RequestContext,
  state: StreamState,
  sent: Sent,
  head: AttemptAnswer,
): Promise<StreamStep> {
  const { caller, route } = ctx.opts
  const { server } = sent.place
  const read = await readWhole(sent.attempt, head, MAX_PLAIN_BYTES)
  if (caller.hasLeft) return { type: 'done', outcome: callerLeft(ctx, sent) }
  sent.end(`status_${head.status}`)
  ctx.spend(server)
  const isServerFault = head.status >= 500 || read.type === 'broken'
  ctx.noteAnswer(server, isServerFault ? 'bad' : 'good')
  const mayRepeat = route.isResumable && ctx.hasAttemptsLeft
  if (isServerFault && mayRepeat && ctx.takeRepeat('server_error')) {
    return { type: 'again', reason: 'server_error', isPaid: true }
  }
  const isUnfit = head.status < 300 || read.type === 'broken' || state.hasBegun
  if (isUnfit) return { type: 'give_up', reason: 'server_failed' }
  return { type: 'done', outcome: passOn(ctx, head, read.body) }
}

function observeSpeed(ctx: RequestContext, sent: Sent): void {
  const { model = '' } = sent.line
  const readingMs = sinceSentMs(ctx, sent) - sent.aheadMs
  const { prefillTokens: tokensToRead, meanPrecedingTokens: tokensBefore } = sent.place
  ctx.opts.node.opts.prefillSpeeds.observe(model, tokensToRead, readingMs, tokensBefore)
}

function asksNextModel(
  ctx: RequestContext,
  state: StreamState,
  sent: Sent,
  head: AttemptAnswer,
): boolean {
  const { route, node, service } = ctx.opts
  const next = ctx.models[state.modelIndex + 1]
  const judged = judgeCompletion(
    {
      modelIndex: state.modelIndex,
      modelCount: Math.max(1, ctx.models.length),
      priority: route.priority,
      confidence: head.facts.confidence,
      nextExpectedMs: next === undefined ? 0 : (ctx.pick(next)?.expectedMs ?? 0),
      toTargetMs: ctx.toTargetMs,
      hasAttemptsLeft: ctx.hasAttemptsLeft,
      retryBudgetLeft: node.budget(service.name).remainingShare,
    },
    node.opts.cascade,
  )
  sent.line.judged = judged
  return judged === 'ask_next' && ctx.takeRepeat('larger_model')
}
