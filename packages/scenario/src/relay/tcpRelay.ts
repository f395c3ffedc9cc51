/**
 * A TCP relay between two parts of a deployment. It can reset, delay or silence their
 * connections and needs no privileges.
 */
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { RelayConnection } from './relayConnection.js'

/** How a relay treats its connections. */
export type RelayState =
  | { readonly type: 'pass' }
  /** Resets open and new connections. */
  | { readonly type: 'cut' }
  /** Refuses new connections; open ones go on. */
  | { readonly type: 'refuse' }
  /** Discards bytes in both directions, on open and new connections. */
  | { readonly type: 'silent' }
  /** Discards only the bytes from the target. */
  | { readonly type: 'answersLost' }
  /** Delays bytes in both directions. */
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
  #port = 0
  #state: RelayState = PASS

  private constructor(private target: string) {
    this.#server = createServer((socket) => {
      this.#accept(socket)
    })
  }

  static async create(opts: { target: string }): Promise<TcpRelay> {
    const relay = new TcpRelay(opts.target)
    await relay.#listen()
    relay.#port = (relay.#server.address() as AddressInfo).port
    return relay
  }

  /** `host:port` on which the relay listens, for use in place of the target's. */
  get address(): string {
    return `127.0.0.1:${this.#port}`
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size
  }

  /** Relays new connections to another target. */
  retarget(target: string): void {
    this.target = target
  }

  /** Changes how open and new connections are treated. */
  set(state: RelayState): void {
    this.#state = state
    if (state.type === 'refuse') this.#server.close()
    else if (!this.#server.listening) void this.#listen()
    if (state.type === 'cut') this.resetOpen()
    // A connection that has discarded bytes stays silent in every later state.
    for (const connection of this.#connections) connection.set(state)
  }

  /** Silences the open connections permanently; new connections work. */
  silenceOpen(): void {
    for (const connection of this.#connections) connection.set({ type: 'silent' })
  }

  /** Resets the open connections; new connections work. */
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

  #listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, '127.0.0.1', () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
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
