/** Splits a byte stream of server-sent events into complete events. */
import { ByteCollector } from '@wagtailway/core'

/** One event, byte for byte as received, including the blank line that ends it. */
export interface CompleteEvent {
  readonly bytes: Buffer
  /** The event's `id` field, if it is a non-negative integer. */
  readonly id: number | undefined
}

/** Largest incomplete event that is buffered, in bytes; a longer one may never end. */
const MAX_EVENT_BYTES = 262_144

/** Most events in one chunk. */
const MAX_EVENTS = 8_192

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /(?:^|\n)id: ?(\d+)\r?(?=\n)/

/**
 * Buffers an incomplete event until the rest of it arrives. Looks at each byte once.
 *
 * @example
 * const splitter = EventSplitter.create()
 * splitter.push(chunk).map(({ id }) => id) // ids of the events completed by this chunk
 */
export class EventSplitter {
  readonly #partialEvent = ByteCollector.create()
  /** Bytes of the incomplete line at the end of the partial event. */
  #lineLength = 0
  /** Whether that line is a carriage return only. */
  #isLineReturn = false
  #hasTooManyEvents = false

  static create(): EventSplitter {
    return new EventSplitter()
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.byteCount > 0
  }

  /** Whether an event is longer than any may be, or a chunk holds more than any may. */
  get isTooLong(): boolean {
    return this.#hasTooManyEvents || this.#partialEvent.byteCount > MAX_EVENT_BYTES
  }

  /** Adds a chunk; returns the events that it completes, `MAX_EVENTS` at most. */
  push(chunk: Buffer): CompleteEvent[] {
    const events: CompleteEvent[] = []
    let start = 0
    let lineStart = 0
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, lineStart)
      if (end < 0) break
      this.#extendLine(chunk, lineStart, end)
      const isBlank = this.#lineLength === 0 || this.#isLineReturn
      this.#lineLength = 0
      this.#isLineReturn = false
      lineStart = end + 1
      if (!isBlank) continue
      if (events.length === MAX_EVENTS) {
        this.#hasTooManyEvents = true
        return events
      }
      events.push(this.#completeEvent(chunk.subarray(start, lineStart)))
      start = lineStart
    }
    this.#extendLine(chunk, lineStart, chunk.length)
    this.#partialEvent.append(chunk.subarray(start))
    return events
  }

  /** Returns the bytes of the incomplete event, and forgets them. */
  takePartial(): Buffer {
    return this.#partialEvent.take()
  }

  /** Adds bytes without a line feed to the incomplete line. */
  #extendLine(chunk: Buffer, start: number, end: number): void {
    if (start === end) return
    this.#lineLength += end - start
    this.#isLineReturn = this.#lineLength === 1 && chunk[start] === CARRIAGE_RETURN
  }

  #completeEvent(lastBytes: Buffer): CompleteEvent {
    if (!this.hasPartialEvent) return toCompleteEvent(lastBytes)
    this.#partialEvent.append(lastBytes)
    return toCompleteEvent(this.#partialEvent.take())
  }
}

function toCompleteEvent(bytes: Buffer): CompleteEvent {
  const idMatch = ID_FIELD.exec(bytes.toString('latin1'))
  return { bytes, id: idMatch ? Number(idMatch[1]) : undefined }
}
