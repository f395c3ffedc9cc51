/**
 * Reads a streamed answer and checks that it is whole.
 *
 * Events may carry increasing numbers: then they are put in order, a repeated number is
 * dropped, and a gap makes the answer incomplete. So do a missing end, missing usage or a broken connection.
 */
import type { IncomingMessage } from 'node:http'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import {
  Err,
  Ok,
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

/** Events that may wait for one that is missing. */
const MAX_EARLY = 64

export interface StreamEnd {
  /** The chunks that end the answer, not yet passed on. */
  readonly last: readonly Chunk[]
  readonly usage: Usage
}

/** Receives each chunk but those that end the answer; resolves when the caller can take more. */
export type ChunkSink = (chunk: Chunk) => Promise<void> | undefined

/**
 * Passes chunks on as they come and returns the last ones with the usage.
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
    for await (const text of res) {
      for (const chunk of reader.feed(text as string)) {
        const pause = sink(chunk)
        if (pause) await pause
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

/** Collects events and finds what is missing. */
class StreamReader {
  readonly #events: EventSourceMessage[] = []
  readonly #parser = createParser({ onEvent: (event) => this.#events.push(event) })
  #nextId = 0
  /** Events that came before their turn, by their number. */
  readonly #early = new Map<number, EventSourceMessage>()
  #unparsed = 0
  /** Chunks from the first that says why a choice ended; the end may follow them. */
  #held: Chunk[] = []
  #usage: Usage | undefined
  #done = false
  fault: string | undefined

  static create(): StreamReader {
    return new StreamReader()
  }

  get end(): StreamEnd | undefined {
    if (!this.#done || this.#early.size > 0) return undefined
    if (!this.#usage || this.#held.length === 0) return undefined
    return { last: this.#held, usage: this.#usage }
  }

  /** Takes in text and returns the chunks that can be passed on. */
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
    return this.#inOrder(event).flatMap((ready) => this.#parse(ready))
  }

  #parse(event: EventSourceMessage): Chunk[] {
    const chunk = chunkSchema.safeParse(parseJson(event.data))
    if (chunk.success) return this.#pass(chunk.data)
    this.fault = 'a chunk is not a chat completion chunk'
    return []
  }

  #pass(chunk: Chunk): Chunk[] {
    if (chunk.usage) this.#usage = chunk.usage
    const isEnd =
      chunk.choices.length === 0 ||
      chunk.choices.some((choice) => choice.finish_reason != null)
    if (isEnd) {
      this.#held.push(chunk)
      return []
    }
    // Another choice goes on after one has ended.
    const passed = [...this.#held, chunk]
    this.#held = []
    return passed
  }

  /** Events that are next in order now that this one has come; a doubled one is dropped. */
  #inOrder(event: EventSourceMessage): EventSourceMessage[] {
    const number = Number.parseInt(event.id ?? '', 10)
    if (Number.isNaN(number)) return [event]
    if (number >= this.#nextId) this.#early.set(number, event)
    const ready: EventSourceMessage[] = []
    let next = this.#early.get(this.#nextId)
    while (next) {
      ready.push(next)
      this.#early.delete(this.#nextId)
      this.#nextId += 1
      next = this.#early.get(this.#nextId)
    }
    if (this.#early.size > MAX_EARLY) this.fault = `chunk ${this.#nextId} is missing`
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
