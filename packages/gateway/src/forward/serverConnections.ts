/** Kept connections to backend servers, apart for each incarnation of a server. */
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { BackendServer } from '../model/backendServer.js'

/**
 * How long an unused connection is kept when the server says nothing, in milliseconds;
 * below the shortest idle timeout that servers usually have.
 */
const IDLE_MS = 3_500

/** Part of a server's own idle timeout that is used, so that both ends don't cross. */
const IDLE_PART = 0.6

/**
 * Agents by server.
 *
 * @example
 * const connections = ServerConnections.create()
 * http.request({ agent: connections.agentFor(server) })
 * connections.drop(server.id)
 */
export class ServerConnections {
  readonly #agents = new Map<string, KeptAgent>()

  static create(): ServerConnections {
    return new ServerConnections()
  }

  /** Agent whose connections lead to this incarnation only. */
  agentFor(server: BackendServer): Agent {
    const key = `${server.id} ${server.startedAtMs} ${server.host}:${server.port}`
    const old = this.#agents.get(server.id)
    if (old?.key === key) return old
    old?.destroy()
    const agent = new KeptAgent(key)
    this.#agents.set(server.id, agent)
    return agent
  }

  /** Open connections to a server. */
  count(serverId: string): number {
    return this.#agents.get(serverId)?.openCount ?? 0
  }

  /** Closes the unused connections to a server. */
  drop(serverId: string): void {
    this.#agents.get(serverId)?.closeFree()
    this.#agents.delete(serverId)
  }

  /** Notes the idle timeout that an answer names, in seconds. */
  static noteIdleTimeout(req: ClientRequest, keepAlive: string | undefined): void {
    const found = /timeout=(\d+)/.exec(keepAlive ?? '')
    const socket = req.socket as Socket | null
    if (found && socket) idleMsOf.set(socket, Number(found[1]) * 1_000 * IDLE_PART)
  }

  close(): void {
    for (const agent of this.#agents.values()) agent.destroy()
    this.#agents.clear()
  }
}

/** Idle time allowed on each connection whose server named one. */
const idleMsOf = new WeakMap<Socket, number>()

class KeptAgent extends Agent {
  readonly #watched = new WeakSet<Socket>()

  constructor(readonly key: string) {
    super({ keepAlive: true, scheduling: 'lifo' })
  }

  get openCount(): number {
    return countAll(this.sockets) + countAll(this.freeSockets)
  }

  override keepSocketAlive(socket: Socket): boolean {
    const idleMs = Math.min(IDLE_MS, idleMsOf.get(socket) ?? IDLE_MS)
    if (!this.#watched.has(socket)) {
      this.#watched.add(socket)
      socket.on('timeout', () => {
        socket.destroy()
      })
    }
    socket.setKeepAlive(true, IDLE_MS)
    socket.setTimeout(idleMs)
    return true
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.setTimeout(0)
    super.reuseSocket(socket, req)
  }

  closeFree(): void {
    for (const list of Object.values(this.freeSockets)) {
      for (const socket of list ?? []) socket.destroy()
    }
  }
}

function countAll(lists: NodeJS.ReadOnlyDict<Socket[]>): number {
  return Object.values(lists).reduce((sum, list) => sum + (list?.length ?? 0), 0)
}
