/**
 * A TCP relay between two parts of a deployment, whose connections can be cut,
 * delayed or made silent without privileges.
 */
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { RelayConnection } from './relayConnection.js'

/** What a relay does to its connections. */
export type RelayState =
  | { readonly type: 'pass' }
  /** Resets connections, also new ones. */
  | { readonly type: 'cut' }
  /** Swallows bytes in both directions, also of new connections. */
  | { readonly type: 'silent' }
  /** Swallows only what comes back from the target. */
  | { readonly type: 'answersLost' }
  | { readonly type: 'slow'; readonly delayMs: number }

export const PASS: RelayState = { type: 'pass' }

/**
 * Relays connections to one target.
 *
 * @example
 * const relay = await TcpRelay.create({ target: '127.0.0.1:8000' })
 * relay.address // give this address to the other part
 * relay.set({ type: 'cut' })
 * await relay.close()
 */
export class TcpRelay {
  readonly #server: Server
  readonly #connections = new Set<RelayConnection>()
  #state: RelayState = PASS

  private constructor(private target: string) {
    this.#server = createServer((socket) => {
      this.#accept(socket)
    })
  }

  static async create(opts: { target: string }): Promise<TcpRelay> {
    const relay = new TcpRelay(opts.target)
    await new Promise<void>((resolve, reject) => {
      relay.#server.once('error', reject)
      relay.#server.listen(0, '127.0.0.1', resolve)
    })
    return relay
  }

  /** `host:port` that stands for the target. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Connections that are open now. */
  get connectionCount(): number {
    return this.#connections.size
  }

  /** Sends connections to another target from now on. */
  retarget(target: string): void {
    this.target = target
  }

  /** Changes what happens to present and future connections. */
  set(state: RelayState): void {
    this.#state = state
    if (state.type === 'cut') this.resetOpen()
    // A connection that has lost bytes stays silent for good.
    for (const connection of this.#connections) connection.set(state)
  }

  /** Makes the present connections silent for good; new ones work. */
  silenceOpen(): void {
    for (const connection of this.#connections) connection.set({ type: 'silent' })
  }

  /** Resets the present connections; new ones work. */
  resetOpen(): void {
    for (const connection of this.#connections) connection.close()
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    this.resetOpen()
    await closed
  }

  #accept(socket: Socket): void {
    if (this.#state.type === 'cut') {
      socket.resetAndDestroy()
      return
    }
    const [host, port] = this.target.split(':')
    const upstream = connect({ host: host ?? '', port: Number(port) })
    const connection = RelayConnection.create(socket, upstream, () => {
      this.#connections.delete(connection)
    })
    connection.set(this.#state)
    this.#connections.add(connection)
  }
}
