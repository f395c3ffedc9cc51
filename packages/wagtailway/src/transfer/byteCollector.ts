/** Collects bytes that arrive in chunks, in memory proportional to the bytes. */

/** Smallest and largest block that is allocated ahead of the bytes, in bytes. */
const MIN_BLOCK_BYTES = 512
const MAX_BLOCK_BYTES = 65_536

export interface CollectorOptions {
  /**
   * Expected number of bytes; a wrong one costs no more than a block.
   * @default 0
   */
  readonly sizeHint?: number
  /**
   * Whether there are `sizeHint` bytes at most, so that they are kept in one block.
   * @default false
   */
  readonly isSizeExact?: boolean
  /** Called before memory is allocated; if it returns false, `append` fails. */
  readonly tryReserve?: (bytes: number) => boolean
}

/**
 * Copies chunks into blocks, so that many small chunks take no more memory than a few large
 * ones: at most twice their bytes.
 *
 * @example
 * const collector = ByteCollector.create()
 * collector.append(Buffer.from('a'))
 * collector.take().toString() // 'a'
 */
export class ByteCollector {
  #fullBlocks: Buffer[] = []
  #block: Buffer = Buffer.alloc(0)
  /** Bytes in `#block`. */
  #blockBytes = 0
  #byteCount = 0
  #heldBytes = 0

  private constructor(private readonly opts: CollectorOptions) {}

  static create(opts: CollectorOptions = {}): ByteCollector {
    return new ByteCollector(opts)
  }

  /** Number of bytes collected. */
  get byteCount(): number {
    return this.#byteCount
  }

  /** Memory that is held for them, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes
  }

  /** Adds a copy of the chunk; returns false if there is no memory for it. */
  append(chunk: Buffer): boolean {
    let start = 0
    while (start < chunk.length) {
      const isFull = this.#blockBytes === this.#block.length
      if (isFull && !this.#allocate(chunk.length - start)) return false
      const copied = chunk.copy(this.#block, this.#blockBytes, start)
      this.#blockBytes += copied
      this.#byteCount += copied
      start += copied
    }
    return true
  }

  /** Returns all bytes, and forgets them. */
  take(): Buffer {
    const blocks = this.takeBlocks()
    const [first] = blocks
    return blocks.length === 1 && first ? first : Buffer.concat(blocks)
  }

  /** Returns all bytes without a copy, in the blocks that hold them, and forgets them. */
  takeBlocks(): Buffer[] {
    const last = this.#block.subarray(0, this.#blockBytes)
    const blocks = this.#blockBytes > 0 ? [...this.#fullBlocks, last] : this.#fullBlocks
    this.clear()
    return blocks
  }

  clear(): void {
    this.#fullBlocks = []
    this.#block = Buffer.alloc(0)
    this.#blockBytes = 0
    this.#byteCount = 0
    this.#heldBytes = 0
  }

  #allocate(neededBytes: number): boolean {
    const { tryReserve } = this.opts
    const size = Math.max(neededBytes, this.#sizeAhead())
    if (tryReserve?.(size) === false) return false
    if (this.#blockBytes > 0) this.#fullBlocks.push(this.#block)
    this.#block = Buffer.allocUnsafe(size)
    this.#blockBytes = 0
    this.#heldBytes += size
    return true
  }

  /** Size of the next block if few bytes are needed at once. */
  #sizeAhead(): number {
    const { sizeHint = 0, isSizeExact = false } = this.opts
    const restBytes = sizeHint - this.#byteCount
    if (isSizeExact && restBytes > 0) return restBytes
    const expected = Math.max(this.#byteCount, restBytes)
    return Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, expected))
  }
}
