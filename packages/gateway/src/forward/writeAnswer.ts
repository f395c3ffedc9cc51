/** Writes buffered answers to callers. */
import type { ServerResponse } from 'node:http'
import { bindOwner } from '@wagtailway/core'
import type { MemoryHold } from '../memory/memoryShare.js'

/** Largest part of an answer that is written at once if its caller reads slowly, in bytes. */
const SLICE_BYTES = 32_768

/** Size up to which an answer is written in one piece, in bytes. */
const MAX_WHOLE_BYTES = 65_536

/**
 * Writes a body and ends the response. The memory stays held until the caller has read it, as
 * far as it doesn't fit into the socket; if the caller stands still while memory is short, the
 * response is destroyed.
 *
 * @param onStalled Called before, with the time that the caller stood still, in milliseconds.
 *
 * @example
 * writeAnswer(res, [Buffer.from('whole')], hold, (stalledMs) => log('answer_stalled', {}))
 */
export function writeAnswer(
  res: ServerResponse,
  body: readonly Buffer[],
  hold: MemoryHold,
  onStalled: (stalledMs: number) => void,
): void {
  const [first] = body
  if (body.length <= 1 && (first?.length ?? 0) <= MAX_WHOLE_BYTES) {
    res.end(first)
    if (res.writableLength === 0) return
    holdUntilClose(res, hold, () => 0, onStalled)
    return
  }
  let writtenBytes = 0
  holdUntilClose(res, hold, () => writtenBytes, onStalled)
  const slices = slicesOf(body)
  const writeNext = (): void => {
    for (;;) {
      const { value: slice } = slices.next()
      if (res.destroyed) return
      if (!slice) {
        res.end()
        return
      }
      writtenBytes += slice.length
      if (!res.write(slice)) break
    }
    res.once('drain', bindOwner(writeNext))
  }
  writeNext()
}

function* slicesOf(body: readonly Buffer[]): Generator<Buffer, undefined> {
  for (const block of body) {
    for (let start = 0; start < block.length; start += SLICE_BYTES)
      yield block.subarray(start, start + SLICE_BYTES)
  }
  return undefined
}

function holdUntilClose(
  res: ServerResponse,
  hold: MemoryHold,
  progress: () => number,
  onStalled: (stalledMs: number) => void,
): void {
  const release = hold.retain()
  const finish = (): void => {
    hold.unwatch()
    release()
  }
  hold.watch({
    progress: () => {
      // An error may have swallowed the event.
      if (res.closed) finish()
      return progress()
    },
    end: bindOwner((stalledMs) => {
      onStalled(stalledMs)
      res.destroy()
    }),
  })
  res.once('close', bindOwner(finish))
}
