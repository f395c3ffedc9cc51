/** A bare TCP connection to a router, for requests that no HTTP client would send. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'

export interface RawAnswer {
  readonly status: number
  readonly headers: ReadonlyMap<string, string>
  readonly body: string
}

/**
 * Connects to `host:port`.
 *
 * @example
 * const raw = await RawSocket.connect(address)
 * raw.write('GARBAGE\r\n\r\n')
 * const { status } = await raw.answer()
 */
export class RawSocket {
  #received = ''
  #closed = false

  private constructor(readonly socket: Socket) {
    socket.setEncoding('latin1')
    socket.on('data', (text: string) => {
      this.#received += text
    })
    socket.on('close', () => {
      this.#closed = true
    })
    // Resets are part of what is tried; `answer` tells what had arrived.
    socket.on('error', () => undefined)
  }

  static async connect(address: string): Promise<RawSocket> {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), allowHalfOpen: true })
    await once(socket, 'connect')
    return new RawSocket(socket)
  }

  write(text: string): void {
    this.socket.write(text, 'latin1')
  }

  /** Waits for a whole answer with a content length, or for the connection's end. */
  async answer(): Promise<RawAnswer | undefined> {
    for (;;) {
      const answer = parseAnswer(this.#received)
      if (answer || this.#closed) return answer
      await Promise.race([once(this.socket, 'data'), once(this.socket, 'close')])
    }
  }

  /** Waits until the router has closed its side. */
  async closed(): Promise<void> {
    if (this.#closed || this.socket.readableEnded) return
    await Promise.race([once(this.socket, 'end'), once(this.socket, 'close')])
  }

  close(): void {
    this.socket.destroy()
  }
}

function parseAnswer(text: string): RawAnswer | undefined {
  const end = text.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [start = '', ...lines] = text.slice(0, end).split('\r\n')
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const
    }),
  )
  const length = Number(headers.get('content-length') ?? 0)
  const body = text.slice(end + 4, end + 4 + length)
  if (body.length < length) return undefined
  return { status: Number(start.split(' ')[1]), headers, body }
}
