/** Reads bodies of other parties. */
import type { Readable } from 'node:stream'
import { monotonicClock, type Clock } from '../clock.js'
import { bindOwner } from '../process/errorOwner.js'
import { ByteCollector } from './byteCollector.js'
import { ChunkAllowance } from './chunkAllowance.js'

/** Memory that several readers share. */
export interface ByteBudget {
  /** Reserves memory; returns false if there is too little. */
  tryReserve(bytes: number): boolean
  release(bytes: number): void
}

export interface ReadOptions {
  /** Maximum size, in bytes. */
  readonly maxBytes: number
  /** Size that the other party announced, in bytes. */
  readonly sizeHint?: number
  /**
   * Whether the body has exactly that size, as its framing ensures: its memory is reserved
   * before the first byte, and it is kept in one block.
   * @default false
   */
  readonly isSizeExact?: boolean
  /** Memory that is reserved while the body is read; without it, there is no limit. */
  readonly budget?: ByteBudget
  /**
   * Whether the memory of a complete body stays reserved.
   * @default false
   */
  readonly keepReserved?: boolean
  /** Called for each chunk. */
  readonly onChunk?: () => void
  /**
   * Whether a stream that isn't read to its end is left open; what still comes is dropped.
   * @default false
   */
  readonly keepOpen?: boolean
  /**
   * Whether a stream for which there is no memory is left open and paused, and what has been
   * read of it is returned and stays reserved.
   * @default false
   */
  readonly handOver?: boolean
  /** @default monotonicClock */
  readonly clock?: Clock
}

/**
 * Why a body was not read to its end: it is longer than allowed, comes in too many small
 * chunks, finds no memory, or its stream was closed before the end.
 */
export type ReadFailure = 'too_long' | 'too_fragmented' | 'no_memory' | 'closed'

/** Why there is no whole body. */
export interface FailedRead {
  readonly type: ReadFailure
  /** Bytes read before. */
  readonly byteCount: number
  /** What has been read, if it is handed over. */
  readonly blocks?: readonly Buffer[]
}

/** The whole body, or why there is none. */
export type ReadResult =
  { readonly type: 'complete'; readonly bytes: Buffer } | FailedRead

/** The whole body in the blocks that hold it, or why there is none. */
export type ReadBlocksResult =
  { readonly type: 'complete'; readonly blocks: readonly Buffer[] } | FailedRead

/**
 * Reads a stream to its end, or destroys it. Never rejects.
 *
 * @example
 * const result = await readBytes(res, { maxBytes: 1_048_576 })
 * if (result.type === 'complete') result.bytes.length // 1_048_576 at most
 */
export async function readBytes(
  stream: Readable,
  opts: ReadOptions,
): Promise<ReadResult> {
  const result = await readBlocks(stream, opts)
  if (result.type !== 'complete') return result
  const { blocks } = result
  const [first] = blocks
  const bytes = blocks.length === 1 && first ? first : Buffer.concat(blocks)
  return { type: 'complete', bytes }
}

/**
 * Reads like `readBytes`, but doesn't copy the body into one buffer.
 *
 * @example
 * const result = await readBlocks(req, { maxBytes: 1_048_576 })
 * if (result.type === 'complete') for (const block of result.blocks) res.write(block)
 */
export function readBlocks(
  stream: Readable,
  opts: ReadOptions,
): Promise<ReadBlocksResult> {
  const { maxBytes, sizeHint = 0, budget, onChunk, keepOpen = false } = opts
  const { keepReserved = false, handOver = false, clock = monotonicClock } = opts
  const isSizeExact = opts.isSizeExact === true && sizeHint <= maxBytes
  return new Promise((resolve) => {
    let reservedBytes = 0
    const tryReserve = (bytes: number): boolean => {
      if (budget?.tryReserve(bytes) === false) return false
      reservedBytes += bytes
      return true
    }
    /** Memory that was reserved ahead of its allocation. */
    let aheadBytes = 0
    const allowance = ChunkAllowance.create(clock)
    const collector = ByteCollector.create({
      sizeHint: Math.min(maxBytes, sizeHint),
      isSizeExact,
      tryReserve: (bytes) => {
        const fromAheadBytes = Math.min(aheadBytes, bytes)
        aheadBytes -= fromAheadBytes
        return bytes === fromAheadBytes || tryReserve(bytes - fromAheadBytes)
      },
    })
    let isFinished = false
    const finish = (result: ReadBlocksResult): void => {
      isFinished = true
      if (result.type !== 'complete' || !keepReserved) budget?.release(reservedBytes)
      collector.clear()
      resolve(result)
    }
    const failForMemory = (rest?: Buffer): void => {
      if (!handOver) {
        fail('no_memory')
        return
      }
      stream.off('data', onData).pause()
      isFinished = true
      const { byteCount } = collector
      const blocks = [...collector.takeBlocks(), ...(rest ? [rest] : [])]
      resolve({ type: 'no_memory', byteCount, blocks })
    }
    const fail = (type: ReadFailure): void => {
      if (isFinished) return
      finish({ type, byteCount: collector.byteCount })
      if (!keepOpen) stream.destroy()
    }
    const onData = bindOwner((chunk: Buffer) => {
      // Many chunks can come in one read of the socket; they are dropped here.
      if (isFinished) return
      onChunk?.()
      const { byteCount } = collector
      if (byteCount + chunk.length > maxBytes) fail('too_long')
      else if (!allowance.tryTake(chunk.length)) fail('too_fragmented')
      else if (!collector.append(chunk))
        failForMemory(chunk.subarray(collector.byteCount - byteCount))
    })
    if (stream.destroyed) {
      fail('closed')
      return
    }
    if (isSizeExact && sizeHint > 0) {
      if (!tryReserve(sizeHint)) {
        failForMemory()
        return
      }
      aheadBytes = sizeHint
    }
    stream.on('data', onData)
    stream.once(
      'end',
      bindOwner(() => {
        if (!isFinished) finish({ type: 'complete', blocks: collector.takeBlocks() })
      }),
    )
    const onClose = bindOwner(() => {
      fail('closed')
    })
    stream.once('error', onClose)
    stream.once('close', onClose)
  })
}
