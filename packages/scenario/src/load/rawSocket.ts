/**
 * A raw TCP connection to a router, for malformed requests that no HTTP client would
 * send.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'

export interface RawResponse {
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
 * const { status } = await raw.readResponse()
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
    // Connection resets are expected; `readResponse` returns what was received before
    // one.
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

  /**
   * Waits for a complete response with a content length, or until the connection closes.
   */
  async readResponse(): Promise<RawResponse | undefined> {
    for (;;) {
      const response = parseResponse(this.#received)
      if (response || this.#closed) return response
      await Promise.race([once(this.socket, 'data'), once(this.socket, 'close')])
    }
  }

  /** Waits until the router has closed its side of the connection. */
  async closed(): Promise<void> {
    if (this.#closed || this.socket.readableEnded) return
    await Promise.race([once(this.socket, 'end'), once(this.socket, 'close')])
  }

  close(): void {
    this.socket.destroy()
  }
}

function parseResponse(text: string): RawResponse | undefined {
  const headersEnd = text.indexOf('\r\n\r\n')
  if (headersEnd < 0) return undefined
  const [statusLine = '', ...headerLines] = text.slice(0, headersEnd).split('\r\n')
  const headers = new Map(
    headerLines.map((line) => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const
    }),
  )
  const length = Number(headers.get('content-length') ?? 0)
  const body = text.slice(headersEnd + 4, headersEnd + 4 + length)
  if (body.length < length) return undefined
  return { status: Number(statusLine.split(' ')[1]), headers, body }
}
