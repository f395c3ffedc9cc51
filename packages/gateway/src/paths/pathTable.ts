/**
 * What this instance knows of its own network paths to backend servers.
 *
 * A failed connection is a fact about the path from here to a server. Only together with
 * what another instance finds does it tell whether the path or the server has failed.
 */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'

/**
 * Servers of one service that must be lost in a row, without a direct connection to any
 * other one, before the service counts as cut off.
 */
const MIN_LOST_SERVERS = 3

/**
 * Time after a check for which a server that nobody reaches is not tried again, in
 * milliseconds; longer than the interval of checks.
 */
const RECHECK_MS = 700

/** Time for which a slow connection makes further ones start on two paths, in milliseconds. */
const SLOW_MS = 1_000

/**
 * How a direct connection failed: `refused`, `reset` or without any response. `mute` means
 * that connections are accepted but bring no response, while another instance gets one.
 */
export type PathFailure = 'refused' | 'reset' | 'no_response' | 'mute'

/** Whether another instance reaches a server that this one has no path to. */
export type LostState = 'relayed' | 'unreachable'

/** A server without a direct path. */
export interface LostPath {
  readonly state: LostState
  readonly failure: PathFailure
  /** When the direct path was lost, on the monotonic clock. */
  readonly sinceMs: number
  readonly checkedAtMs: number
  /** Instance that reached the server or was the last to try. */
  readonly relay: string | undefined
}

/**
 * What was found out about a server without a direct path; no failure if the direct path was
 * not tried.
 */
export interface PathFinding extends Pick<LostPath, 'state' | 'relay'> {
  readonly failure: PathFailure | undefined
}

/**
 * Which paths a new connection tries: `direct` tries a relay only if the direct path fails
 * or is slow, `both` starts on both, `none` fails at once.
 */
export type PathPlan = 'direct' | 'both' | 'relay' | 'none'

/** A change of what is known. */
export type PathChange =
  | {
      readonly type: 'path_lost' | 'path_regained'
      readonly server: BackendServer
      readonly lost: LostPath
    }
  | {
      readonly type: 'service_cut_off'
      readonly service: string
      readonly failure: PathFailure
      readonly lostCount: number
    }
  | { readonly type: 'service_regained'; readonly service: string }

export interface PathTableOptions {
  readonly clock: Clock
  /** Number of known servers of a service. */
  readonly serverCount: (service: string) => number
  readonly onChange: (change: PathChange) => void
}

/**
 * Table of the servers without a direct path.
 *
 * @example
 * const paths = PathTable.create({ clock, serverCount, onChange })
 * paths.recordLost(server, { state: 'relayed', failure: 'refused', relay: 'n2' })
 * paths.plan(server) // 'relay'
 */
export class PathTable {
  readonly #lost = new Map<string, LostPath & { readonly server: BackendServer }>()
  /** Servers by service that were lost since the last direct connection to any of them. */
  readonly #lostInRow = new Map<string, Set<string>>()
  readonly #cutOff = new Set<string>()
  readonly #slowUntilMs = new Map<string, number>()

  private constructor(private readonly opts: PathTableOptions) {}

  static create(opts: PathTableOptions): PathTable {
    return new PathTable(opts)
  }

  /** Which paths a new connection to a server tries. */
  plan(server: BackendServer): PathPlan {
    const lost = this.#lost.get(server.id)
    const nowMs = this.opts.clock()
    if (lost?.state === 'relayed') return 'relay'
    const isCutOff = this.#cutOff.has(server.service)
    if (lost) {
      // Checks find the first path that is back; requests would only wait for them.
      const isChecked = isCutOff || nowMs - lost.checkedAtMs < RECHECK_MS
      return isChecked ? 'none' : 'both'
    }
    if (isCutOff) return 'relay'
    return (this.#slowUntilMs.get(server.id) ?? 0) > nowMs ? 'both' : 'direct'
  }

  /** Whether a server has no direct path, as far as is known. */
  isLost(server: BackendServer): boolean {
    return this.#lost.has(server.id) || this.#cutOff.has(server.service)
  }

  get(serverId: string): LostPath | undefined {
    return this.#lost.get(serverId)
  }

  /** Number of servers without a direct path. */
  get lostCount(): number {
    return this.#lost.size
  }

  /** Services whose servers this instance has lost, so that it is no relay to them. */
  get cutOffServices(): string[] {
    return [...this.#cutOff]
  }

  /** Records that a connection is slow to be established. */
  recordSlow(server: BackendServer): void {
    this.#slowUntilMs.set(server.id, this.opts.clock() + SLOW_MS)
  }

  /** Records that a direct connection was established. */
  recordDirect(server: BackendServer): void {
    const { id, service } = server
    this.#slowUntilMs.delete(id)
    this.#lostInRow.delete(service)
    const lost = this.#lost.get(id)
    if (lost) {
      this.#lost.delete(id)
      this.opts.onChange({ type: 'path_regained', server, lost })
    }
    if (this.#cutOff.delete(service))
      this.opts.onChange({ type: 'service_regained', service })
  }

  /** Records that the direct path to a server has failed. */
  recordLost(server: BackendServer, finding: PathFinding): void {
    const { id, service } = server
    const checkedAtMs = this.opts.clock()
    const previous = this.#lost.get(id)
    const lost = {
      ...finding,
      server,
      failure: finding.failure ?? previous?.failure ?? 'no_response',
      sinceMs: previous?.sinceMs ?? checkedAtMs,
      checkedAtMs,
    }
    this.#slowUntilMs.delete(id)
    this.#lost.set(id, lost)
    if (previous?.state !== finding.state)
      this.opts.onChange({ type: 'path_lost', server, lost })
    const inRow = this.#lostInRow.get(service) ?? new Set()
    this.#lostInRow.set(service, inRow.add(id))
    const enough = Math.min(MIN_LOST_SERVERS, this.opts.serverCount(service))
    if (inRow.size < enough || this.#cutOff.has(service)) return
    this.#cutOff.add(service)
    const { failure } = lost
    this.opts.onChange({
      type: 'service_cut_off',
      service,
      failure,
      lostCount: inRow.size,
    })
  }

  /**
   * Servers to check next: those without a direct path, the one checked longest ago first.
   *
   * @param limit Maximum number for each service.
   */
  dueForCheck(limit: number): BackendServer[] {
    const byAge = [...this.#lost.values()].toSorted(
      (a, b) => a.checkedAtMs - b.checkedAtMs,
    )
    const counts = new Map<string, number>()
    return byAge.flatMap(({ server }) => {
      const count = counts.get(server.service) ?? 0
      counts.set(server.service, count + 1)
      return count < limit ? server : []
    })
  }

  /** Records that a server was checked and is still without a direct path. */
  recordChecked(server: BackendServer): void {
    const lost = this.#lost.get(server.id)
    if (lost) this.#lost.set(server.id, { ...lost, checkedAtMs: this.opts.clock() })
  }

  /** Forgets a server that is no longer listed or has restarted. */
  forget({ id, service }: BackendServer): void {
    this.#lost.delete(id)
    this.#slowUntilMs.delete(id)
    this.#lostInRow.get(service)?.delete(id)
    if (this.opts.serverCount(service) > 0) return
    this.#cutOff.delete(service)
    this.#lostInRow.delete(service)
  }
}
