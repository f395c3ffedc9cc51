/**
 * Pools of keep-alive connections to backend servers, one per incarnation of a server.
 */
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { BackendServer } from '../model/backendServer.js'
import type { DialResult } from '../paths/dial.js'

/**
 * Maximum idle time of a connection, in milliseconds, also if a server announces more or
 * nothing; below the shortest idle timeout that servers usually have.
 */
const MAX_IDLE_MS = 3_500

/**
 * Share of a server's announced idle timeout after which this side closes the connection,
 * so that no request is sent while the server closes it.
 */
const IDLE_TIMEOUT_SHARE = 0.6

/** Instance that relays each relayed connection. */
const relayBySocket = new WeakMap<object, string>()

/** Instance that relays a connection; `undefined` for a direct one. */
export function relayOf(socket: Socket): string | undefined {
  return relayBySocket.get(socket)
}

/** Error of a connection that could not be established on any path. */
export class DialError extends Error {
  constructor(
    detail: string,
    /** Whether nothing listens on the server's port, as far as anyone can tell. */
    readonly isRefused: boolean,
    /** Whether the server has failed, not only the path to it. */
    readonly isServerFailure: boolean,
  ) {
    super(detail)
  }
}

export interface ServerConnectionsOptions {
  readonly dial: (server: BackendServer) => Promise<DialResult<Socket>>
  /** Whether a kept connection may be used again. */
  readonly mayReuse: (server: BackendServer, relay: string | undefined) => boolean
}

/**
 * HTTP agents by server.
 *
 * @example
 * const connections = ServerConnections.create({ dial, mayReuse })
 * http.request({ agent: connections.agentFor(server, true) })
 * connections.drop(server.id)
 */
export class ServerConnections {
  readonly #agents = new Map<string, ServerAgent>()

  private constructor(private readonly opts: ServerConnectionsOptions) {}

  static create(opts: ServerConnectionsOptions): ServerConnections {
    return new ServerConnections(opts)
  }

  /**
   * Agent with connections to this incarnation of the server only; replaces the agent
   * of an earlier incarnation.
   *
   * @param keepAlive Whether connections are kept; if not, each is used once.
   */
  agentFor(server: BackendServer, keepAlive: boolean): Agent {
    if (!keepAlive) return new ServerAgent(server, this.opts, false)
    const existing = this.#agents.get(server.id)
    if (existing?.key === keyOf(server)) return existing
    existing?.destroy()
    const agent = new ServerAgent(server, this.opts, true)
    this.#agents.set(server.id, agent)
    return agent
  }

  /** Number of open connections to a server, with those that are being established. */
  count(serverId: string): number {
    return this.#agents.get(serverId)?.openCount ?? 0
  }

  /** Removes a server's agent and closes its idle connections. */
  drop(serverId: string): void {
    this.#agents.get(serverId)?.closeIdle(() => true)
    this.#agents.delete(serverId)
  }

  /** Closes the idle connections that match, by server and by the instance that relays them. */
  closeIdle(
    isMeant: (server: BackendServer, relay: string | undefined) => boolean,
  ): void {
    for (const agent of this.#agents.values())
      agent.closeIdle((relay) => isMeant(agent.server, relay))
  }

  /** Records the idle timeout, in seconds, from a response's `Keep-Alive` header. */
  static recordIdleTimeout(req: ClientRequest, keepAlive: string | undefined): void {
    const timeoutMatch = /timeout=(\d+)/.exec(keepAlive ?? '')
    const socket = req.socket as Socket | null
    if (timeoutMatch && socket)
      idleMsBySocket.set(socket, Number(timeoutMatch[1]) * 1_000 * IDLE_TIMEOUT_SHARE)
  }

  close(): void {
    for (const agent of this.#agents.values()) agent.destroy()
    this.#agents.clear()
  }
}

/**
 * Maximum idle time, in milliseconds, of connections whose server announced a timeout.
 */
const idleMsBySocket = new WeakMap<Socket, number>()

/** A method of Node's agent that its types leave out. */
const { addRequest } = Agent.prototype as unknown as {
  addRequest(this: Agent, req: ClientRequest, options: unknown): void
}

/** Agent whose connections to one server may be relayed. */
class ServerAgent extends Agent {
  readonly key: string
  readonly #hasTimeoutListener = new WeakSet<Socket>()
  #dialCount = 0

  constructor(
    readonly server: BackendServer,
    private readonly opts: ServerConnectionsOptions,
    keepAlive: boolean,
  ) {
    super(keepAlive ? { keepAlive, scheduling: 'lifo' } : { keepAlive })
    this.key = keyOf(server)
  }

  get openCount(): number {
    return countSockets(this.sockets) + countSockets(this.freeSockets) + this.#dialCount
  }

  /** Called by Node for each request; gives it an idle connection or a new one. */
  addRequest(req: ClientRequest, options: unknown): void {
    this.#dropClosed()
    addRequest.call(this, req, options)
  }

  override createConnection(
    _options: unknown,
    callback?: (err: Error | null, socket: Socket) => void,
  ): undefined {
    this.#dialCount += 1
    void this.#dial().then((result) => {
      this.#dialCount -= 1
      if (result instanceof Error) callback?.(result, undefined as unknown as Socket)
      else callback?.(null, result)
    })
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (!this.opts.mayReuse(this.server, relayOf(socket))) return false
    const idleMs = Math.min(MAX_IDLE_MS, idleMsBySocket.get(socket) ?? MAX_IDLE_MS)
    if (!this.#hasTimeoutListener.has(socket)) {
      this.#hasTimeoutListener.add(socket)
      socket.on('timeout', () => {
        socket.destroy()
      })
    }
    socket.setKeepAlive(true, MAX_IDLE_MS)
    socket.setTimeout(idleMs)
    return true
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.setTimeout(0)
    super.reuseSocket(socket, req)
  }

  /** Closes the idle connections that are relayed by a given instance, or by none. */
  closeIdle(isMeant: (relay: string | undefined) => boolean): void {
    for (const list of Object.values(this.freeSockets)) {
      for (const socket of list ?? []) if (isMeant(relayOf(socket))) socket.destroy()
    }
  }

  /** A connection to the server, or why there is none; never rejects. */
  async #dial(): Promise<Socket | Error> {
    try {
      const result = await this.opts.dial(this.server)
      if (result.type === 'failed') {
        const { detail, isRefused, isConfirmed } = result
        return new DialError(detail, isRefused, isConfirmed)
      }
      const { connection, relay } = result
      if (relay !== undefined) relayBySocket.set(connection, relay)
      return connection
    } catch (err) {
      return err instanceof Error ? err : new Error(String(err))
    }
  }

  /**
   * Forgets idle connections that either side has closed. Node does so at the end of the
   * turn of the event loop; a request of the same turn would be lost on them.
   */
  #dropClosed(): void {
    for (const list of Object.values(this.freeSockets)) {
      if (!list || list.every(isOpen)) continue
      for (const socket of list.splice(0)) {
        if (isOpen(socket)) list.push(socket)
        else socket.destroy()
      }
    }
  }
}

function isOpen({ readable, writable }: Socket): boolean {
  return readable && writable
}

function keyOf({ id, startedAtMs, host, port }: BackendServer): string {
  return `${id} ${startedAtMs} ${host}:${port}`
}

function countSockets(lists: NodeJS.ReadOnlyDict<Socket[]>): number {
  return Object.values(lists).reduce((sum, list) => sum + (list?.length ?? 0), 0)
}
