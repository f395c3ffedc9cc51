/** Bounds the work that the chunks of one transfer cause, whatever their bytes add up to. */
import type { Clock } from '../clock.js'

/** Chunks that may come at once, of any size. */
const MAX_BURST_CHUNKS = 8_192

/** Small chunks that may come in the long run, for each millisecond. */
const CHUNKS_PER_MS = 1

/** Bytes that allow one more chunk. */
const BYTES_PER_CHUNK = 64

/**
 * Allowance of one transfer. Each chunk costs an event and a buffer, also if it holds a
 * single byte.
 *
 * @example
 * const allowance = ChunkAllowance.create(clock)
 * if (!allowance.tryTake(chunk.length)) stream.destroy()
 */
export class ChunkAllowance {
  #chunksLeft = MAX_BURST_CHUNKS
  #refilledAtMs: number

  private constructor(private readonly clock: Clock) {
    this.#refilledAtMs = clock()
  }

  static create(clock: Clock): ChunkAllowance {
    return new ChunkAllowance(clock)
  }

  /**
   * Takes what a chunk costs; false once there were more chunks than the bytes and the time
   * of the transfer account for.
   *
   * @param byteCount Size of the chunk, in bytes.
   * @param cost Work that it causes, in chunks.
   */
  tryTake(byteCount: number, cost = 1): boolean {
    const nowMs = this.clock()
    const earned =
      (nowMs - this.#refilledAtMs) * CHUNKS_PER_MS + byteCount / BYTES_PER_CHUNK
    this.#refilledAtMs = nowMs
    this.#chunksLeft = Math.min(MAX_BURST_CHUNKS, this.#chunksLeft + earned) - cost
    return this.#chunksLeft >= 0
  }
}
