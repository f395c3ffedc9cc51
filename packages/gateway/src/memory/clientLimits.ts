/** What the clients of a process may hold beside bodies and answers. */

/** Heap that the process needs for itself, in bytes: program, lists, metrics. */
const PROCESS_HEAP_BYTES = 33_554_432

/**
 * Share of the rest of the heap for the heads of requests in progress. What is left is for
 * connections, for requests that are not yet complete, and until the runtime collects.
 */
const HEAD_RATIO = 0.25

/** Least share for heads, in bytes. */
const MIN_HEADS_BYTES = 2_097_152

/**
 * Heap that a connection may take until its request is complete, in bytes: about 290 fields
 * and 17 KB of text, most of it collected early.
 */
const CONNECTION_BYTES = 32_768

const MIN_CONNECTIONS = 128

/**
 * Part of the callers' number that each of the four small servers may have; with all of them
 * full there are descriptors left for servers.
 */
const SMALL_SERVER_DIVISOR = 8
const MIN_SMALL_CONNECTIONS = 16

/** Descriptors of the process itself: listening sockets, the store, feeds. */
const OWN_DESCRIPTORS = 100

/** Share of the other descriptors for connections of callers; the rest is for servers. */
const CALLER_DESCRIPTOR_RATIO = 0.6

/** Heap that each header field takes beside its text, in bytes: two strings, an entry. */
const FIELD_BYTES = 128

/** Bytes of the shortest field, `a:` and the end of its line. */
const MIN_FIELD_BYTES = 4

/** Largest head that may take all of the share; larger ones may take half of it. */
const ORDINARY_HEAD_BYTES = 8_192
const LARGE_HEADS_RATIO = 0.5

export interface ClientLimitsOptions {
  /** Memory above which the process is killed, in bytes. */
  readonly memoryBytes: number
  /** Largest heap of the process, in bytes. */
  readonly heapBytes: number
  /** Limit of the process's open descriptors, if it is known. */
  readonly fileLimit?: number | undefined
}

/**
 * Owner of what clients may hold beside bodies and answers: heads of requests and connections.
 * 32 MB of the heap are for the process; of the rest, a quarter is for the heads of requests in
 * progress, and there is one connection for each 32 KB.
 *
 * | heap   | descriptors | heads | connections |
 * | ------ | ----------- | ----- | ----------- |
 * | 120 MB | 4,100       | 22 MB | 2,400       |
 *
 * @example
 * const limits = ClientLimits.create({ memoryBytes, heapBytes, fileLimit: 4_100 })
 * const release = limits.tryHoldHead(req.rawHeaders)
 * if (release) release()
 */
export class ClientLimits {
  /** Connections of callers. */
  readonly maxConnections: number
  /** Connections of each of the small servers. */
  readonly maxSmallConnections: number
  readonly maxHeadsBytes: number
  #headsBytes = 0

  private constructor({ memoryBytes, heapBytes, fileLimit }: ClientLimitsOptions) {
    const roomBytes = Math.min(heapBytes, memoryBytes) - PROCESS_HEAP_BYTES
    this.maxHeadsBytes = Math.max(MIN_HEADS_BYTES, roomBytes * HEAD_RATIO)
    const byMemory = Math.max(MIN_CONNECTIONS, Math.floor(roomBytes / CONNECTION_BYTES))
    const byDescriptors = Math.max(
      1,
      Math.floor(((fileLimit ?? Infinity) - OWN_DESCRIPTORS) * CALLER_DESCRIPTOR_RATIO),
    )
    this.maxConnections = Math.min(byMemory, byDescriptors)
    this.maxSmallConnections = Math.max(
      MIN_SMALL_CONNECTIONS,
      Math.floor(this.maxConnections / SMALL_SERVER_DIVISOR),
    )
  }

  static create(opts: ClientLimitsOptions): ClientLimits {
    return new ClientLimits(opts)
  }

  /** Estimated heap of the heads of requests in progress, in bytes. */
  get headsBytes(): number {
    return this.#headsBytes
  }

  /**
   * Takes room for the head of a request; `undefined` if there is none.
   *
   * @param rawHeaders Names and values in turn, as Node gives them.
   * @returns A function that gives the room back, once.
   */
  tryHoldHead(rawHeaders: readonly string[]): (() => void) | undefined {
    const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0)
    return this.#tryHold(bytes + (rawHeaders.length / 2) * FIELD_BYTES)
  }

  /**
   * Takes room for a head of which as much as allowed may come, in the shortest fields.
   *
   * @param maxBytes Largest size of a head, in bytes.
   */
  tryHoldLargestHead(maxBytes: number): (() => void) | undefined {
    return this.#tryHold(maxBytes + (maxBytes / MIN_FIELD_BYTES) * FIELD_BYTES)
  }

  #tryHold(cost: number): (() => void) | undefined {
    const ratio = cost > ORDINARY_HEAD_BYTES ? LARGE_HEADS_RATIO : 1
    if (this.#headsBytes + cost > this.maxHeadsBytes * ratio) return undefined
    this.#headsBytes += cost
    let isHeld = true
    return () => {
      if (isHeld) this.#headsBytes -= cost
      isHeld = false
    }
  }
}
