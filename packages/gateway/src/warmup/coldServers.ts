/** How long each backend server stays cold, on the clock of this process. */
import type { Clock } from '@wagtailway/core'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'

/** A server that has become cold, or one whose cold time can't be read. */
export interface ColdChange {
  readonly server: string
  readonly service: string
  readonly forMs: number | 'invalid'
}

interface ColdTime {
  untilMs: number
  revision: number
}

export interface ColdServersOptions {
  readonly clock: Clock
  /** Called when a server becomes cold, and once for each whose cold time can't be read. */
  readonly onChange: (change: ColdChange) => void
}

/**
 * End of the cold time of each incarnation.
 *
 * The time in an entry counts from the moment at which it was written. An entry that other
 * instances passed on late is applied later than that, so the server counts as cold for longer
 * than it is and never for less.
 *
 * @example
 * cold.apply(server)
 * cold.forMs(server) // 2_960
 */
export class ColdServers {
  readonly #known = new Map<string, ColdTime>()
  readonly #invalid = new Set<string>()
  /** No server is cold from this time on. */
  #latestUntilMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: ColdServersOptions) {}

  static create(opts: ColdServersOptions): ColdServers {
    return new ColdServers(opts)
  }

  /**
   * Applies the entry of a server. One that is repeated or older than the known one changes
   * nothing, and one from a restored store, which may be of any age, never ends a cold time.
   */
  apply(server: BackendServer, isRestored = false): void {
    const { cold } = server
    const { remainingMs = 0, revision = 0 } = cold ?? {}
    const incarnation = incarnationOf(server)
    if (remainingMs === 'invalid') {
      this.#reportInvalid(incarnation, server)
      return
    }
    const known = this.#known.get(incarnation)
    if (!known && remainingMs === 0) return
    if (cold && known && revision <= known.revision && !isRestored) return
    this.#put(server, this.opts.clock() + remainingMs, { known, revision, isRestored })
  }

  /** Time for which a server stays cold, in milliseconds; zero if it is warm. */
  forMs(server: Pick<BackendServer, 'id' | 'startedAtMs'>): number {
    // Called for each server of each request.
    if (!this.isAny) return 0
    const nowMs = this.opts.clock()
    const untilMs = this.#known.get(incarnationOf(server))?.untilMs ?? nowMs
    return Math.max(0, untilMs - nowMs)
  }

  /** Whether a server may be cold; costs little. */
  get isAny(): boolean {
    return this.opts.clock() < this.#latestUntilMs
  }

  /** Number of servers that are cold now. */
  get count(): number {
    const nowMs = this.opts.clock()
    return [...this.#known.values()].filter(({ untilMs }) => untilMs > nowMs).length
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    const incarnation = incarnationOf(server)
    this.#known.delete(incarnation)
    this.#invalid.delete(incarnation)
  }

  #put(
    { id, service, startedAtMs }: BackendServer,
    statedUntilMs: number,
    entry: {
      readonly known: ColdTime | undefined
      readonly revision: number
      readonly isRestored: boolean
    },
  ): void {
    const { known, revision, isRestored } = entry
    const nowMs = this.opts.clock()
    const knownUntilMs = known?.untilMs ?? nowMs
    const untilMs = isRestored ? Math.max(statedUntilMs, knownUntilMs) : statedUntilMs
    this.#known.set(incarnationOf({ id, startedAtMs }), { untilMs, revision })
    this.#latestUntilMs = Math.max(this.#latestUntilMs, untilMs)
    if (knownUntilMs > nowMs || untilMs <= nowMs) return
    this.opts.onChange({ server: id, service, forMs: Math.round(untilMs - nowMs) })
  }

  #reportInvalid(incarnation: string, { id, service }: BackendServer): void {
    if (this.#invalid.has(incarnation)) return
    this.#invalid.add(incarnation)
    this.opts.onChange({ server: id, service, forMs: 'invalid' })
  }
}
