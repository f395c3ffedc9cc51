/**
 * View of a store in which texts are replaced, so that some gateways reach the backend servers
 * by a relay and others directly, or read values that no JSON encoder writes.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Passes calls on to a store and replaces texts in its responses.
 *
 * @example
 * const texts = new Map([[`"${server.address}"`, `"${relay.address}"`]])
 * const view = await StoreView.create(store.port, texts)
 * const gateway = await startGateway('n1', view.port)
 */
export class StoreView {
  private constructor(private readonly server: Server) {}

  /**
   * @param texts Text that each JSON text is replaced by; those that are strings include
   *   their quotes.
   */
  static async create(
    storePort: number,
    texts: ReadonlyMap<string, string>,
  ): Promise<StoreView> {
    const server = createServer((req, res) => {
      passOn(req, res, storePort, texts).catch(() => res.destroy())
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return new StoreView(server)
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve))
    this.server.closeAllConnections()
    await closed
  }
}

async function passOn(
  req: IncomingMessage,
  res: ServerResponse,
  port: number,
  texts: ReadonlyMap<string, string>,
): Promise<void> {
  const { method, url, headers } = req
  const storeReq = request({ host: '127.0.0.1', port, method, path: url, headers })
  req.pipe(storeReq)
  const storeRes = await new Promise<IncomingMessage>((resolve, reject) => {
    storeReq.on('response', resolve)
    storeReq.on('error', reject)
  })
  const chunks: Buffer[] = []
  for await (const chunk of storeRes) chunks.push(chunk as Buffer)
  let text = Buffer.concat(chunks).toString()
  for (const [from, to] of texts) text = text.replaceAll(from, to)
  res.writeHead(storeRes.statusCode ?? 502, {
    'content-type': storeRes.headers['content-type'],
    'store-era': storeRes.headers['store-era'],
  })
  res.end(text)
}
