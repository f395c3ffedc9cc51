/** Backend server that answers each request with given bytes and closes the connection. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * Serves on loopback. Bytes are sent once the head of a request has arrived.
 *
 * @example
 * const server = await OddServer.create(() => 'HTTP/1.1 200 OK\r\n: empty name\r\n\r\n')
 * server.requestCount // 1
 */
export class OddServer {
  /** Number of requests that it received. */
  requestCount = 0
  readonly #sockets = new Set<Socket>()
  readonly #server: Server

  private constructor(respond: (requestHead: string) => string) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.once('data', (head) => {
        this.requestCount += 1
        socket.end(Buffer.from(respond(head.toString('latin1')), 'latin1'))
      })
    })
  }

  static async create(respond: (requestHead: string) => string): Promise<OddServer> {
    const server = new OddServer(respond)
    await new Promise<void>((resolve) => {
      server.#server.listen(0, '127.0.0.1', resolve)
    })
    return server
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }
}
