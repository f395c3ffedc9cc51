/** Writes server-sent events to a caller at the caller's pace. */
import type { ServerResponse } from 'node:http'

/**
 * An event stream; its headers go out with the first event.
 *
 * @example
 * const stream = EventStream.create(res)
 * await stream.write({ choices: [] })
 * stream.end()
 */
export class EventStream {
  #nextId = 0

  private constructor(private readonly res: ServerResponse) {}

  static create(res: ServerResponse): EventStream {
    return new EventStream(res)
  }

  /** Sends one event; if the caller's connection is full, the promise tells when it isn't. */
  write(data: unknown): Promise<void> | undefined {
    this.#sendHeaders()
    const id = this.#nextId
    this.#nextId += 1
    const flushed = this.res.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
    return flushed || this.res.destroyed ? undefined : this.#drained()
  }

  end(): void {
    this.#sendHeaders()
    this.res.end('data: [DONE]\n\n')
  }

  #drained(): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        this.res.off('drain', done)
        this.res.off('close', done)
        resolve()
      }
      this.res.once('drain', done)
      this.res.once('close', done)
    })
  }

  #sendHeaders(): void {
    if (this.res.headersSent) return
    this.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    })
  }
}
