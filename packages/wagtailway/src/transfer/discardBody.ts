/** Discards a body that nobody needs. */
import type { Readable } from 'node:stream'
import { monotonicClock } from '../clock.js'
import { ChunkAllowance } from './chunkAllowance.js'

/** Size from which a body is not read to its end, in bytes. */
const MAX_DISCARDED_BYTES = 65_536

/** Time after which a body is not read any further, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1_000

export interface DiscardOptions {
  /** @default 65_536 */
  readonly maxBytes?: number
  /** Time after which the body is destroyed, in milliseconds. @default 1_000 */
  readonly timeoutMs?: number
}

/**
 * Reads a body to its end, so that its connection can be reused. A body that is long, slow
 * or in too many small chunks is destroyed, and with it its connection: it may never end.
 *
 * @example
 * discardBody(res)
 */
export function discardBody(body: Readable, opts: DiscardOptions = {}): void {
  const { maxBytes = MAX_DISCARDED_BYTES, timeoutMs = DISCARD_TIMEOUT_MS } = opts
  const allowance = ChunkAllowance.create(monotonicClock)
  let byteCount = 0
  const timer = setTimeout(() => {
    body.destroy()
  }, timeoutMs)
  body.on('data', (chunk: Buffer) => {
    byteCount += chunk.length
    if (byteCount > maxBytes || !allowance.tryTake(chunk.length)) body.destroy()
  })
  body.on('close', () => {
    clearTimeout(timer)
  })
}
