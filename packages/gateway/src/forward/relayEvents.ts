/** Relays a stream's events to the caller, complete and in order. */
import { ChunkAllowance, bindOwner } from '@wagtailway/core'
import { reportFailure } from '../observe/failures.js'
import { isFramed, type AttemptResponse } from './attempt.js'
import { EventSplitter, type CompleteEvent } from './eventSplitter.js'
import { EventIntervals } from './eventIntervals.js'
import type { RequestContext } from './requestContext.js'
import { monitorInactivity } from './inactivityMonitor.js'
import { startTimer } from './timer.js'
import type { TrackedAttempt } from './startAttempt.js'

/**
 * Inactivity timeout of a stream as a multiple of the route's target for event
 * intervals.
 */
const INACTIVITY_FACTOR = 1.6

/**
 * Minimum inactivity timeout, in milliseconds: engines stop decoding to prefill
 * prompts.
 */
const MIN_INACTIVITY_MS = 1_200

/**
 * Events, and time from the first to the last of them in milliseconds, after which a
 * response has gone on: a prompt that crashes servers does so when the response begins.
 */
const SOUND_EVENTS = 4
const SOUND_SPAN_MS = 400

/**
 * Events after which the speed of a stream can be told, so that a slow stream is noticed
 * long before its end.
 */
const SPEED_EVENTS = 6

/**
 * How relaying the stream of one server ended; `endless` means an event without an end, or
 * too many small chunks or events.
 */
export type RelayResult =
  'complete' | 'broken' | 'endless' | 'gap' | 'silent' | 'timeout' | 'caller_left'

/** State of a stream that carries over from one server to the next. */
export interface RelayState {
  hasBegun: boolean
  lastEventId: number | undefined
}

/**
 * Relays events until the stream ends, fails or stalls, or the deadline passes. The
 * response head is sent with the first event, so that until then another server can still
 * provide the response.
 *
 * @param onSpeedKnown Called once in a longer stream, as soon as its speed can be told.
 *
 * @example
 * const state = { hasBegun: false, lastEventId: undefined }
 * const result = await relayEvents(ctx, state, tracked, head, () => undefined)
 */
export function relayEvents(
  ctx: RequestContext,
  state: RelayState,
  tracked: TrackedAttempt,
  head: AttemptResponse,
  onSpeedKnown: () => void,
): Promise<RelayResult> {
  const { caller, node, route } = ctx.opts
  const splitter = EventSplitter.create()
  const allowance = ChunkAllowance.create(node.opts.clock)
  const { res } = head
  return new Promise((resolve) => {
    let isFinished = false
    const intervals = EventIntervals.create()
    const finish = (result: RelayResult): void => {
      if (isFinished) return
      isFinished = true
      monitor.cancel()
      deadline.cancel()
      tracked.logEntry.events = intervals.count
      tracked.logEntry.eventsMs = Math.round(intervals.spanMs)
      tracked.logEntry.pauseMs = roundIfKnown(intervals.meanMs)
      tracked.logEntry.quickPauseMs = roundIfKnown(intervals.p10Ms)
      if (result !== 'complete') tracked.attempt.cancel()
      resolve(result)
    }
    const canRetry = ctx.retries.mayRunAgain('silent')
    const inactivityMs = Math.max(
      MIN_INACTIVITY_MS,
      route.targetEventGapMs * INACTIVITY_FACTOR,
    )
    const monitor = monitorInactivity({
      probe: () =>
        node.opts.dialer.probe(tracked.placement.server, tracked.attempt.relay),
      inactivityMs,
      mayAbandon: () =>
        canRetry &&
        ctx.canBeginElsewhere(tracked.logEntry.model, tracked.placement.server) &&
        ctx.retries.tryAcquire('silent'),
      onInactive: () => {
        finish('silent')
      },
    })
    const deadline = startTimer(ctx.timeToDeadlineMs, () => {
      finish('timeout')
    })
    caller.onDisconnect(() => {
      finish('caller_left')
    })
    const sendHead = (): void => {
      if (state.hasBegun) return
      state.hasBegun = true
      const tookMs = node.opts.clock() - caller.arrivedAtMs
      node.opts.metrics.firstByteSeconds.observe(tookMs / 1_000)
      caller.writeHead(
        head.status,
        node.opts.dialect.callerResponseHeaders(res.rawHeaders),
      )
    }
    /**
     * Adds an event to those that are relayed; returns how the stream has failed if the event
     * doesn't continue it.
     */
    const acceptEvent = (
      event: CompleteEvent,
      relayed: Buffer[],
    ): 'gap' | 'broken' | undefined => {
      if (state.lastEventId !== undefined) {
        // Such as an error instead of the next event.
        if (event.id === undefined && !isComment(event)) return 'broken'
        const expectedId = state.lastEventId + 1
        // A server may resume with events that the caller already has.
        if (event.id !== undefined && event.id < expectedId) return undefined
        if (event.id !== undefined && event.id > expectedId) return 'gap'
      }
      sendHead()
      tracked.recordPrefillDone()
      intervals.recordEvent(node.opts.clock())
      if (intervals.count === SPEED_EVENTS) {
        tracked.logEntry.quickPauseMs = roundIfKnown(intervals.p10Ms)
        onSpeedKnown()
      }
      if (intervals.count >= SOUND_EVENTS && intervals.spanMs >= SOUND_SPAN_MS)
        tracked.inFlight.recordSound(intervals.firstAtMs)
      state.lastEventId = event.id ?? state.lastEventId
      relayed.push(event.bytes)
      return undefined
    }
    /** Relays events in one write; returns how the stream has failed at one of them. */
    const relayAll = (events: readonly CompleteEvent[]): RelayResult | undefined => {
      const relayed: Buffer[] = []
      let failure: RelayResult | undefined
      for (const event of events) {
        failure = acceptEvent(event, relayed)
        if (failure) break
      }
      const [first] = relayed
      const bytes = relayed.length > 1 ? Buffer.concat(relayed) : first
      if (bytes && !caller.res.write(bytes)) {
        res.pause()
        caller.res.once(
          'drain',
          bindOwner(() => res.resume()),
        )
      }
      return failure
    }
    /**
     * Ends the request if a listener throws. It can't go on at another server: which events the
     * caller has is no longer known.
     */
    const guard = (listener: () => void): void => {
      try {
        listener()
      } catch (err) {
        const { requestId: id } = caller.metadata
        reportFailure(node.opts, 'exchange_failed', { work: 'stream', id }, err)
        caller.fail()
        finish(caller.hasFailed ? 'caller_left' : 'complete')
      }
    }
    const handleChunk = (chunk: Buffer): void => {
      if (isFinished) return
      const events = splitter.push(chunk)
      // Bytes that complete no event are no progress.
      if (events.length > 0) monitor.recordActivity()
      const isAllowed = allowance.tryTake(chunk.length, 1 + events.length)
      const failure = isAllowed ? relayAll(events) : 'endless'
      if (failure) finish(failure)
      else if (splitter.isTooLong) finish('endless')
    }
    const handleEnd = (): void => {
      if (isFinished) return
      // A server that ends before its first event can close the connection normally.
      const hasNothing = intervals.count === 0 && state.lastEventId === undefined
      const { attempt } = tracked
      const rest = splitter.takePartial().toString('latin1')
      const endMark = rest === '' || rest !== attempt.endMarkOf(res) ? undefined : rest
      const hasPartialEvent = rest !== '' && endMark === undefined
      const isBroken = !attempt.isComplete(res, endMark) || hasPartialEvent
      if (isBroken || (hasNothing && !isFramed(res))) {
        finish('broken')
        return
      }
      sendHead()
      if (intervals.count > 0 && isFramed(res))
        tracked.inFlight.recordSound(intervals.firstAtMs)
      caller.res.end()
      finish('complete')
    }
    res.on('data', (chunk: Buffer) => {
      guard(() => {
        handleChunk(chunk)
      })
    })
    res.on('end', () => {
      guard(handleEnd)
    })
    res.on('close', () => {
      finish('broken')
    })
  })
}

/** Whether an event consists of comments only, which keep a connection open. */
function isComment({ bytes }: CompleteEvent): boolean {
  return bytes
    .toString('latin1')
    .split(/\r?\n/)
    .every((line) => line === '' || line.startsWith(':'))
}

function roundIfKnown(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms)
}
