/** Passes a stream's events on, whole and in order. */
import type { AttemptAnswer } from './attempt.js'
import { EventSplitter, type WholeEvent } from './eventSplitter.js'
import { Pauses } from './eventIntervals.js'
import type { RequestContext, Sent } from './requestContext.js'
import { watchSilence } from './inactivityMonitor.js'
import { after } from './timer.js'

/** A stream is silent after this many of its longest pauses. */
const SILENT_PAUSES = 1.6

/** Silence is never concluded sooner, in milliseconds: engines pause to read prompts. */
const LEAST_SILENCE_MS = 1_200

/** How a pass over one server's stream ended. */
export type PumpEnd = 'complete' | 'broken' | 'gap' | 'silent' | 'timeout' | 'caller_left'

/** What is kept across the servers of one stream. */
export interface PumpState {
  hasBegun: boolean
  lastEventId: number | undefined
}

/**
 * Passes events on until the stream ends, breaks, falls silent or time is up. The head
 * goes to the caller with the first event, so that until then another server can answer.
 *
 * @example
 * const end = await pumpEvents(ctx, { hasBegun: false, lastEventId: undefined }, sent, head)
 */
export function pumpEvents(
  ctx: RequestContext,
  state: PumpState,
  sent: Sent,
  head: AttemptAnswer,
): Promise<PumpEnd> {
  const { caller, node, route } = ctx.opts
  const splitter = EventSplitter.create()
  const { res } = head
  return new Promise((resolve) => {
    let isOver = false
    const pauses = Pauses.create()
    const finish = (end: PumpEnd): void => {
      if (isOver) return
      isOver = true
      silence.cancel()
      deadline.cancel()
      sent.line.pauseMs = rounded(pauses.meanMs)
      sent.line.quickPauseMs = rounded(pauses.quickMs)
      if (end !== 'complete') sent.attempt.cancel()
      resolve(end)
    }
    const canFollow = route.isResumable && ctx.hasAttemptsLeft
    const silenceMs = Math.max(LEAST_SILENCE_MS, route.targetEventGapMs * SILENT_PAUSES)
    const silence = watchSilence({
      server: sent.place.server,
      silentMs: silenceMs,
      mayGiveUp: () => canFollow && ctx.takeRepeat('silent'),
      onSilent: () => {
        finish('silent')
      },
    })
    const deadline = after(ctx.leftMs, () => {
      finish('timeout')
    })
    caller.onLeft(() => {
      finish('caller_left')
    })
    const begin = (): void => {
      if (state.hasBegun) return
      state.hasBegun = true
      const tookMs = node.opts.clock() - caller.arrivedAtMs
      node.opts.metrics.firstByteSeconds.observe(tookMs / 1_000)
      caller.res.writeHead(
        head.status,
        node.opts.dialect.callerResponseHeaders(res.rawHeaders),
      )
    }
    const pass = (event: WholeEvent): boolean => {
      const expected = state.lastEventId === undefined ? undefined : state.lastEventId + 1
      if (event.id !== undefined && expected !== undefined) {
        // A server may begin before the event that it was asked to go on from.
        if (event.id < expected) return true
        if (event.id > expected) return false
      }
      begin()
      sent.promptRead()
      pauses.note(node.opts.clock())
      state.lastEventId = event.id ?? state.lastEventId
      if (!caller.res.write(event.bytes)) {
        res.pause()
        caller.res.once('drain', () => res.resume())
      }
      return true
    }
    res.on('data', (chunk: Buffer) => {
      if (isOver) return
      silence.heard()
      for (const event of splitter.push(chunk)) if (!pass(event)) finish('gap')
    })
    res.on('end', () => {
      if (isOver) return
      if (!sent.attempt.isWhole(res) || splitter.hasPartialEvent) {
        finish('broken')
        return
      }
      begin()
      caller.res.end()
      finish('complete')
    })
    res.on('close', () => {
      finish('broken')
    })
  })
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms)
}
