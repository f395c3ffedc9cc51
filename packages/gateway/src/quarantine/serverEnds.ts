/** Tells the end of a backend server from the loss of a connection to it. */
import type { ConnectionResult } from '../forward/probeConnection.js'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'

/** Maximum number of ended incarnations that are remembered; the oldest go first. */
const MAX_ENDED = 512

/** What showed that a server has ended. */
export type EndEvidence = 'connection_refused' | 'restarted'

export interface ServerEndsOptions {
  /** Tries to reach a server, on any path. */
  readonly probe: (server: BackendServer) => Promise<ConnectionResult>
  /** Whether the server had left or was to be stopped anyway. */
  readonly isPlannedEnd: (server: BackendServer) => boolean
  /** Called once for each incarnation that ended although nobody had planned it. */
  readonly onCrash: (server: BackendServer, evidence: EndEvidence) => void
}

/**
 * Checks servers whose connections broke. One that refuses a new connection has ended; one
 * that doesn't respond may only be cut off.
 *
 * @example
 * if (await ends.hasEnded(server)) retryElsewhere()
 */
export class ServerEnds {
  readonly #ended = new Set<string>()
  readonly #checks = new Map<string, Promise<boolean>>()

  private constructor(private readonly opts: ServerEndsOptions) {}

  static create(opts: ServerEndsOptions): ServerEnds {
    return new ServerEnds(opts)
  }

  /** Checks a server after a connection to it broke; resolves once that is known. */
  hasEnded(server: BackendServer): Promise<boolean> {
    const incarnation = incarnationOf(server)
    if (this.#ended.has(incarnation)) return Promise.resolve(true)
    const running = this.#checks.get(incarnation)
    if (running) return running
    const check = this.#check(server).finally(() => this.#checks.delete(incarnation))
    this.#checks.set(incarnation, check)
    return check
  }

  async #check(server: BackendServer): Promise<boolean> {
    const result = await this.opts.probe(server)
    if (result === 'refused') this.record(server, 'connection_refused')
    return result === 'refused'
  }

  /** Records that a server has ended. */
  record(server: BackendServer, evidence: EndEvidence): void {
    const incarnation = incarnationOf(server)
    if (this.#ended.has(incarnation)) return
    this.#ended.add(incarnation)
    for (const oldest of this.#ended) {
      if (this.#ended.size <= MAX_ENDED) break
      this.#ended.delete(oldest)
    }
    if (!this.opts.isPlannedEnd(server)) this.opts.onCrash(server, evidence)
  }
}
