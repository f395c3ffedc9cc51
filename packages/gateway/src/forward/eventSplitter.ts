/** Cuts a stream of server-sent events into whole events. */

/** One event with its closing blank line, exactly as it arrived. */
export interface WholeEvent {
  readonly bytes: Buffer
  /** Its `id` field if that is a whole number. */
  readonly id: number | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /(?:^|\n)id: ?(\d+)\r?(?=\n)/

/**
 * Holds back the part of an event that has not ended yet.
 *
 * @example
 * const splitter = EventSplitter.create()
 * splitter.push(chunk).map(({ id }) => id) // ids of the events that are whole
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  static create(): EventSplitter {
    return new EventSplitter()
  }

  /** Whether an event has begun and not ended. */
  get hasPartialEvent(): boolean {
    return this.#rest.length > 0
  }

  /** Adds bytes; returns the events that are whole now. */
  push(chunk: Buffer): WholeEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: WholeEvent[] = []
    let start = 0
    let lineStart = 0
    for (;;) {
      const end = bytes.indexOf(LINE_FEED, lineStart)
      if (end < 0) break
      const lineLength = end - lineStart
      const isBlank =
        lineLength === 0 || (lineLength === 1 && bytes[lineStart] === CARRIAGE_RETURN)
      lineStart = end + 1
      if (!isBlank) continue
      events.push(wholeEvent(bytes.subarray(start, lineStart)))
      start = lineStart
    }
    this.#rest = bytes.subarray(start)
    return events
  }
}

function wholeEvent(bytes: Buffer): WholeEvent {
  const found = ID_FIELD.exec(bytes.toString('latin1'))
  return { bytes, id: found ? Number(found[1]) : undefined }
}
