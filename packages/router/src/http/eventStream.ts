/** Writes server-sent events to a caller at the caller's pace. */
import type { ServerResponse } from 'node:http'

/**
 * An event stream; its headers are sent with the first event or at the end.
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

  /** Sends one event; if the write buffer is full, resolves once it drains or the caller disconnects. */
  write(data: unknown): Promise<void> | undefined {
    this.#sendHeaders()
    const id = this.#nextId
    this.#nextId += 1
    const flushed = this.res.write(`id: ${id}\ndata: ${JSON.stringify(data)}\n\n`)
    return flushed || this.res.destroyed ? undefined : this.#waitForDrain()
  }

  end(): void {
    this.#sendHeaders()
    this.res.end('data: [DONE]\n\n')
  }

  #waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const onDrainOrClose = (): void => {
        this.res.off('drain', onDrainOrClose)
        this.res.off('close', onDrainOrClose)
        resolve()
      }
      this.res.once('drain', onDrainOrClose)
      this.res.once('close', onDrainOrClose)
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
