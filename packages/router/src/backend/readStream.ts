/**
 * Reads a streamed answer and checks that it is whole.
 *
 * Events carry increasing numbers. A repeated number is dropped; a gap, a
 * missing end or a broken connection makes the answer incomplete.
 */
import type { IncomingMessage } from 'node:http'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { Err, Ok, refuse, type Refusal, type Result } from '@wagtailway/core'
import { chunkSchema, type Chunk, type Usage } from './chatMessages.js'

const END_OF_STREAM = '[DONE]'

export interface StreamEnd {
  /** The chunk that ends the answer, not yet passed on. */
  readonly last: Chunk
  readonly usage: Usage
}

/** Receives each chunk but the last; resolves when the caller can take more. */
export type ChunkSink = (chunk: Chunk) => Promise<void>

/**
 * Passes chunks on as they come and returns the last one with the usage.
 *
 * @example
 * const end = await readStream(res, async (chunk) => writer.write(chunk))
 */
export async function readStream(
  res: IncomingMessage,
  sink: ChunkSink,
): Promise<Result<StreamEnd, Refusal>> {
  const reader = StreamReader.create()
  try {
    res.setEncoding('utf8')
    for await (const text of res) {
      for (const chunk of reader.feed(text as string)) await sink(chunk)
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
  #last: Chunk | undefined
  #done = false
  fault: string | undefined

  static create(): StreamReader {
    return new StreamReader()
  }

  get end(): StreamEnd | undefined {
    const usage = this.#last?.usage
    return this.#done && this.#last && usage ? { last: this.#last, usage } : undefined
  }

  /** Takes in text and returns the chunks that can be passed on. */
  feed(text: string): Chunk[] {
    this.#parser.feed(text)
    return this.#events.splice(0).flatMap((event) => this.#accept(event) ?? [])
  }

  #accept(event: EventSourceMessage): Chunk | undefined {
    if (this.#done || this.fault !== undefined) return undefined
    if (event.data === END_OF_STREAM) {
      this.#done = true
      return undefined
    }
    if (event.id !== undefined && !this.#isNext(event.id)) return undefined
    const chunk = chunkSchema.safeParse(parseJson(event.data))
    if (!chunk.success) {
      this.fault = 'a chunk is not a chat completion chunk'
      return undefined
    }
    const finished = chunk.data.choices.some((choice) => choice.finish_reason != null)
    if (!finished) return chunk.data
    this.#last = chunk.data
    return undefined
  }

  #isNext(id: string): boolean {
    const number = Number(id)
    if (number < this.#nextId) return false
    if (number > this.#nextId) {
      this.fault = `chunk ${this.#nextId} is missing`
      return false
    }
    this.#nextId += 1
    return true
  }
}

function truncated(cause: string): Result<never, Refusal> {
  return Err(
    refuse('backend_truncated', 'unknown', `The answer is incomplete: ${cause}.`),
  )
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
