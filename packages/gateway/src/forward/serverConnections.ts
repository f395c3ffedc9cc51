/**
 * Pools of keep-alive connections to backend servers, one per incarnation of a server.
 */
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { BackendServer } from '../model/backendServer.js'

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

/**
 * HTTP agents by server.
 *
 * @example
 * const connections = ServerConnections.create()
 * http.request({ agent: connections.agentFor(server) })
 * connections.drop(server.id)
 */
export class ServerConnections {
  readonly #agents = new Map<string, KeepAliveAgent>()

  static create(): ServerConnections {
    return new ServerConnections()
  }

  /**
   * Agent with connections to this incarnation of the server only; replaces the agent
   * of an earlier incarnation.
   */
  agentFor(server: BackendServer): Agent {
    const key = `${server.id} ${server.startedAtMs} ${server.host}:${server.port}`
    const existing = this.#agents.get(server.id)
    if (existing?.key === key) return existing
    existing?.destroy()
    const agent = new KeepAliveAgent(key)
    this.#agents.set(server.id, agent)
    return agent
  }

  /** Number of open connections to a server. */
  count(serverId: string): number {
    return this.#agents.get(serverId)?.openCount ?? 0
  }

  /** Removes a server's agent and closes its idle connections. */
  drop(serverId: string): void {
    this.#agents.get(serverId)?.closeIdle()
    this.#agents.delete(serverId)
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

class KeepAliveAgent extends Agent {
  readonly #hasTimeoutListener = new WeakSet<Socket>()

  constructor(readonly key: string) {
    super({ keepAlive: true, scheduling: 'lifo' })
  }

  get openCount(): number {
    return countSockets(this.sockets) + countSockets(this.freeSockets)
  }

  override keepSocketAlive(socket: Socket): boolean {
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

  closeIdle(): void {
    for (const list of Object.values(this.freeSockets)) {
      for (const socket of list ?? []) socket.destroy()
    }
  }
}

function countSockets(lists: NodeJS.ReadOnlyDict<Socket[]>): number {
  return Object.values(lists).reduce((sum, list) => sum + (list?.length ?? 0), 0)
}
