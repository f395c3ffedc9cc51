/** Backend server that sends bytes without end once it has received a request. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Bytes written at once, in bytes. */
const BLOCK_BYTES = 65_536

export interface EndlessServerOptions {
  /** Sent first, such as a response head. */
  readonly head: string
  /** Sent again and again afterwards. */
  readonly block: string
}

/**
 * Serves on loopback until the caller closes its connection.
 *
 * @example
 * const server = await EndlessServer.create({ head: 'HTTP/1.1 200 OK\r\n\r\n', block: 'x' })
 * server.sentBytes // how much the caller has taken so far
 */
export class EndlessServer {
  /** Bytes that were handed to the operating system. */
  sentBytes = 0
  /** Number of requests that it received. */
  requestCount = 0
  readonly #sockets = new Set<Socket>()
  readonly #server: Server

  private constructor({ head, block }: EndlessServerOptions) {
    const blocks = Buffer.from(block.repeat(Math.ceil(BLOCK_BYTES / block.length)))
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.once('data', () => {
        this.requestCount += 1
        socket.write(head)
        this.#sendOn(socket, blocks)
      })
    })
  }

  static async create(opts: EndlessServerOptions): Promise<EndlessServer> {
    const server = new EndlessServer(opts)
    await new Promise<void>((resolve) => {
      server.#server.listen(0, '127.0.0.1', resolve)
    })
    return server
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  get openConnections(): number {
    return this.#sockets.size
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  #sendOn(socket: Socket, blocks: Buffer): void {
    if (socket.destroyed) return
    socket.write(blocks, (err) => {
      if (err) return
      this.sentBytes += blocks.length
      setImmediate(() => {
        this.#sendOn(socket, blocks)
      })
    })
  }
}
