/** Backend server with large answers on some paths. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Serves on loopback: answers of one size on paths with a prefix, and short ones on others.
 *
 * @example
 * const server = await LargeServer.create(12_000_000, '/once/')
 * server.address // '127.0.0.1:40001'
 */
export class LargeServer {
  readonly #server: Server

  private constructor(sizeBytes: number, prefix: string) {
    const body = Buffer.alloc(sizeBytes, 'x')
    this.#server = createServer((req, res) => {
      req.resume()
      const isLarge = req.url?.startsWith(prefix) === true
      const headers = {
        'x-request-id': String(req.headers['x-request-id']),
        'x-response-signature': 's',
      }
      res.writeHead(200, { ...headers, 'content-length': isLarge ? sizeBytes : 2 })
      res.end(isLarge ? body : 'ok')
    })
  }

  static async create(sizeBytes: number, prefix: string): Promise<LargeServer> {
    const server = new LargeServer(sizeBytes, prefix)
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
    this.#server.closeAllConnections()
    await closed
  }
}
