/**
 * Reads a streamed response and checks that it is complete.
 *
 * Events may carry increasing ids. They are then put in order, an event with a repeated id
 * is dropped, and a gap makes the response incomplete. So does a missing end event, missing
 * usage, a missing final chunk or a broken connection.
 */
import type { IncomingMessage } from 'node:http'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import {
  ChunkAllowance,
  Err,
  Ok,
  monotonicClock,
  refuse,
  type Refusal,
  type RefusalReason,
  type Result,
} from '@wagtailway/core'
import { chunkSchema, type Chunk, type Usage } from './chatMessages.js'

const END_OF_STREAM = '[DONE]'
const STREAM_TYPE = /^text\/event-stream\b/i

/** Longest event, in characters. */
const MAX_EVENT_LENGTH = 1_048_576

/** Most events that may wait for a missing one. */
const MAX_OUT_OF_ORDER = 64

export interface StreamEnd {
  /** The final chunks, not yet given to the sink. */
  readonly finalChunks: readonly Chunk[]
  readonly usage: Usage
}

/** Receives each chunk except the final ones; resolves when the caller can receive more. */
export type ChunkSink = (chunk: Chunk) => Promise<void> | undefined

/**
 * Gives chunks to the sink as they arrive; returns the final ones with the usage.
 *
 * @example
 * const end = await readStream(res, (chunk) => writer.write(chunk))
 */
export async function readStream(
  res: IncomingMessage,
  sink: ChunkSink,
): Promise<Result<StreamEnd, Refusal>> {
  if (!STREAM_TYPE.test(res.headers['content-type'] ?? '')) {
    res.destroy()
    return failed('backend_invalid', 'The backend server did not answer with a stream.')
  }
  const reader = StreamReader.create()
  try {
    res.setEncoding('utf8')
    const allowance = ChunkAllowance.create(monotonicClock)
    for await (const text of res) {
      if (!allowance.tryTake((text as string).length)) {
        res.destroy()
        return truncated('it comes in too many small chunks')
      }
      for (const chunk of reader.feed(text as string)) {
        const drained = sink(chunk)
        if (drained) await drained
      }
      if (reader.fault !== undefined) {
        res.destroy()
        return truncated(reader.fault)
      }
    }
  } catch (err) {
    return truncated(err instanceof Error ? err.message : String(err))
  }
  const end = reader.end
  return end ? Ok(end) : truncated('the stream ended before its end event')
}

/** Parses events, puts them in order and detects missing ones. */
class StreamReader {
  readonly #events: EventSourceMessage[] = []
  readonly #parser = createParser({ onEvent: (event) => this.#events.push(event) })
  #nextId = 0
  /** Events received before an earlier one, by id. */
  readonly #outOfOrder = new Map<number, EventSourceMessage>()
  /** Characters received since the last complete event. */
  #unparsed = 0
  /** Chunks with a finish reason or without choices, held back as they may be the final ones. */
  #heldChunks: Chunk[] = []
  #usage: Usage | undefined
  #done = false
  /** Why the response is unusable; `undefined` if no fault was found so far. */
  fault: string | undefined

  static create(): StreamReader {
    return new StreamReader()
  }

  get end(): StreamEnd | undefined {
    if (!this.#done || this.#outOfOrder.size > 0) return undefined
    if (!this.#usage || this.#heldChunks.length === 0) return undefined
    return { finalChunks: this.#heldChunks, usage: this.#usage }
  }

  /** Parses text and returns the chunks that can be forwarded. */
  feed(text: string): Chunk[] {
    this.#unparsed += text.length
    this.#parser.feed(text)
    const events = this.#events.splice(0)
    if (events.length > 0) this.#unparsed = 0
    if (this.#unparsed > MAX_EVENT_LENGTH) this.fault = 'an event is too long'
    return events.flatMap((event) => this.#accept(event))
  }

  #accept(event: EventSourceMessage): Chunk[] {
    if (this.#done || this.fault !== undefined) return []
    if (event.data === END_OF_STREAM) {
      this.#done = true
      return []
    }
    return this.#reorder(event).flatMap((ready) => this.#parse(ready))
  }

  #parse(event: EventSourceMessage): Chunk[] {
    const chunk = chunkSchema.safeParse(parseJson(event.data))
    if (chunk.success) return this.#forward(chunk.data)
    this.fault = 'a chunk is not a chat completion chunk'
    return []
  }

  #forward(chunk: Chunk): Chunk[] {
    if (chunk.usage) this.#usage = chunk.usage
    const isEnd =
      chunk.choices.length === 0 ||
      chunk.choices.some((choice) => choice.finish_reason != null)
    if (isEnd) {
      this.#heldChunks.push(chunk)
      return []
    }
    // Another choice continues after one has finished, so the held chunks were not final.
    const forwarded = [...this.#heldChunks, chunk]
    this.#heldChunks = []
    return forwarded
  }

  /** Returns the events that are next in order after adding this one; drops repeated ids. */
  #reorder(event: EventSourceMessage): EventSourceMessage[] {
    const eventId = Number.parseInt(event.id ?? '', 10)
    if (Number.isNaN(eventId)) return [event]
    if (eventId >= this.#nextId) this.#outOfOrder.set(eventId, event)
    const ready: EventSourceMessage[] = []
    let next = this.#outOfOrder.get(this.#nextId)
    while (next) {
      ready.push(next)
      this.#outOfOrder.delete(this.#nextId)
      this.#nextId += 1
      next = this.#outOfOrder.get(this.#nextId)
    }
    if (this.#outOfOrder.size > MAX_OUT_OF_ORDER)
      this.fault = `chunk ${this.#nextId} is missing`
    return ready
  }
}

function truncated(cause: string): Result<never, Refusal> {
  return failed('backend_truncated', `The answer is incomplete: ${cause}.`)
}

function failed(reason: RefusalReason, message: string): Result<never, Refusal> {
  return Err(refuse(reason, 'unknown', message))
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
