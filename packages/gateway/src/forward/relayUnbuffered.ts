/** Relays answers for which there is no memory, as fast as their callers read. */
import { ChunkAllowance, bindOwner } from '@wagtailway/core'
import type { MemoryHold } from '../memory/memoryShare.js'
import type { AttemptResponse } from './attempt.js'
import type { RequestContext } from './requestContext.js'
import type { TrackedAttempt } from './startAttempt.js'
import { startTimer } from './timer.js'

/**
 * Interval at which an answer is looked at that goes on after its deadline, in milliseconds:
 * it ends unless its caller has read something in the meantime.
 */
const PROGRESS_CHECK_MS = 3_000

/** How relaying an answer ended; all but `complete` have closed the caller's connection. */
export type UnbufferedResult =
  'complete' | 'broken' | 'endless' | 'timeout' | 'reader_stalled' | 'caller_left'

export interface UnbufferedAnswer {
  readonly head: AttemptResponse
  /** What has been read of the body; the rest comes from the paused response. */
  readonly blocks: readonly Buffer[]
  /** Memory of the blocks. */
  readonly hold: MemoryHold
  /** Size from which the body counts as endless, in bytes. */
  readonly maxBytes: number
}

/**
 * Relays an answer without keeping it. It can't be tried again at another server; if it can't
 * be completed, the caller's connection is closed, so that it doesn't look complete.
 *
 * @example
 * const result = await relayUnbuffered(ctx, tracked, { head, blocks: [], hold, maxBytes })
 */
export function relayUnbuffered(
  ctx: RequestContext,
  tracked: TrackedAttempt,
  { head, blocks, hold, maxBytes }: UnbufferedAnswer,
): Promise<UnbufferedResult> {
  const { caller, node } = ctx.opts
  const { res } = head
  const { clock, dialect } = node.opts
  return new Promise((resolve) => {
    const allowance = ChunkAllowance.create(clock)
    let isFinished = false
    let isWaitingForReader = false
    let byteCount = 0
    let checkedByteCount = 0
    const endMark = tracked.attempt.endMarkOf(res)
    /** Last bytes, which may be the mark. */
    let tail: Buffer = Buffer.alloc(0)
    const finish = (result: UnbufferedResult): void => {
      if (isFinished) return
      isFinished = true
      timer.cancel()
      hold.unwatch()
      if (result !== 'complete') {
        tracked.attempt.cancel()
        caller.res.destroy()
      }
      resolve(result)
    }
    const timer = startTimer(ctx.timeToDeadlineMs, () => {
      // A caller that still reads keeps its answer, as it would keep a buffered one.
      if (byteCount === checkedByteCount) {
        finish(isWaitingForReader ? 'reader_stalled' : 'timeout')
        return
      }
      checkedByteCount = byteCount
      timer.restart(PROGRESS_CHECK_MS)
    })
    const write = (chunk: Buffer): void => {
      byteCount += chunk.length
      if (caller.res.write(chunk) || isWaitingForReader) return
      isWaitingForReader = true
      res.pause()
      caller.res.once(
        'drain',
        bindOwner(() => {
          isWaitingForReader = false
          res.resume()
        }),
      )
    }
    const writeAllButTail = (chunk: Buffer): void => {
      const bytes = Buffer.concat([tail, chunk])
      const byteLength = Math.max(0, bytes.length - (endMark?.length ?? 0))
      tail = bytes.subarray(byteLength)
      if (byteLength > 0) write(bytes.subarray(0, byteLength))
    }
    const relayChunk = endMark === undefined ? write : writeAllButTail
    hold.watch({
      progress: () => (isWaitingForReader ? byteCount : undefined),
      end: bindOwner(() => {
        finish('reader_stalled')
      }),
    })
    caller.onDisconnect(() => {
      finish('caller_left')
    })
    res.on('data', (chunk: Buffer) => {
      if (isFinished) return
      if (!allowance.tryTake(chunk.length) || byteCount + chunk.length > maxBytes)
        finish('endless')
      else relayChunk(chunk)
    })
    res.on('end', () => {
      if (isFinished) return
      const mark = tail.toString('latin1') === endMark ? endMark : undefined
      if (!tracked.attempt.isComplete(res, mark)) {
        finish('broken')
        return
      }
      caller.res.end()
      finish('complete')
    })
    res.on('close', () => {
      finish('broken')
    })
    const { 'content-length': length } = res.headers
    caller.writeHead(head.status, [
      ...dialect.callerResponseHeaders(res.rawHeaders),
      ...(length === undefined ? [] : ['Content-Length', length]),
    ])
    for (const block of blocks) relayChunk(block)
    if (!isWaitingForReader) res.resume()
  })
}
