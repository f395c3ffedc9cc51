/**
 * Rate limits that backend servers name in their responses, as all entry instances have
 * observed them.
 */
import type { Clock } from '@wagtailway/core'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import type { NamedRateLimit } from '../model/requestMetadata.js'

/** Time for which reports repeat what this process observed, in milliseconds. */
const REPORTED_MS = 12_000

/**
 * Time for which a process leaves it to another one to report the limit that both know, in
 * milliseconds.
 */
const REPORTED_BY_PEER_MS = 1_500

/** Maximum number of servers in one report; the latest observations are reported. */
const MAX_REPORTED = 8

/** Time for which the end of a limit is remembered, in milliseconds. */
const LIFTED_MEMORY_MS = 60_000

/** Maximum number of servers that are kept; those with the oldest observations go first. */
const MAX_KNOWN = 4_096

/** Relative change from which the other instances and the log are told at once. */
const SIGNIFICANT_CHANGE = 0.1

/** What one entry instance observed of a server, as it reports it. */
export interface ReportedLimit {
  readonly incarnation: string
  /** `undefined` if the server no longer names a limit. */
  readonly requestsPerS: number | undefined
  readonly ageMs: number
}

/** The limit that a server names. */
export interface ServerLimit {
  readonly requestsPerS: number
  /** Time since a response named it, in milliseconds. */
  readonly ageMs: number
  /** The entry instance that observed it; `undefined` for this process. */
  readonly source: string | undefined
}

/** A change of what this process knows of a server's limit. */
export interface LimitChange {
  readonly incarnation: string
  readonly requestsPerS: number | undefined
  readonly before: number | undefined
  readonly ageMs: number
  /** The entry instance that observed it; `undefined` for this process. */
  readonly source: string | undefined
}

export interface ServerLimitsOptions {
  readonly clock: Clock
  /** Called when a server begins or ceases to name a limit, or names a different one. */
  readonly onChange: (change: LimitChange) => void
  /** Called once for each server that names something that can't be read. */
  readonly onInvalid: (incarnation: string) => void
}

interface Observation {
  readonly requestsPerS: number | undefined
  readonly atMs: number
  readonly source: string | undefined
}

interface KnownServer {
  latest: Observation
  /** What this process observed itself; only this is reported. */
  own: Observation | undefined
  /** The limit that `onChange` was last called with. */
  announced: number | undefined
  /** When another instance last reported the limit that is known here. */
  reportedByPeerAtMs: number
}

/**
 * The latest observation of each server that has named a limit.
 *
 * @example
 * limits.observe(server, 1.5)
 * limits.find(server)?.requestsPerS // 1.5
 */
export class ServerLimits {
  /** By incarnation, the one with the oldest observation first. */
  readonly #known = new Map<string, KnownServer>()
  readonly #invalid = new Set<string>()

  private constructor(private readonly opts: ServerLimitsOptions) {}

  static create(opts: ServerLimitsOptions): ServerLimits {
    return new ServerLimits(opts)
  }

  /**
   * Records what a response of the server named. Something that can't be read neither sets
   * nor lifts a limit.
   */
  observe(server: BackendServer, rateLimit: NamedRateLimit): void {
    const incarnation = incarnationOf(server)
    if (rateLimit === 'invalid') {
      if (this.#invalid.has(incarnation)) return
      this.#invalid.add(incarnation)
      this.opts.onInvalid(incarnation)
      return
    }
    if (rateLimit === undefined && !this.#known.has(incarnation)) return
    const atMs = this.opts.clock()
    this.#apply(incarnation, { requestsPerS: rateLimit, atMs, source: undefined })
  }

  /** Applies what another entry instance observed itself; older observations are ignored. */
  applyReport(peer: string, limits: readonly ReportedLimit[]): void {
    const nowMs = this.opts.clock()
    for (const { incarnation, requestsPerS, ageMs } of limits) {
      if (requestsPerS === undefined && !this.#known.has(incarnation)) continue
      this.#apply(incarnation, { requestsPerS, atMs: nowMs - ageMs, source: peer })
      const known = this.#known.get(incarnation)
      if (known && !isSignificant(known.latest.requestsPerS, requestsPerS))
        known.reportedByPeerAtMs = nowMs
    }
  }

  /** The limit that a server names; `undefined` if it names none. */
  find(server: BackendServer): ServerLimit | undefined {
    const latest = this.#known.get(incarnationOf(server))?.latest
    if (latest?.requestsPerS === undefined) return undefined
    return {
      requestsPerS: latest.requestsPerS,
      ageMs: this.opts.clock() - latest.atMs,
      source: latest.source,
    }
  }

  /**
   * What this process observed itself, for its reports to peers, unless one of them has
   * reported it lately.
   */
  get reported(): ReportedLimit[] {
    const nowMs = this.opts.clock()
    return [...this.#known]
      .flatMap(([incarnation, { own, reportedByPeerAtMs }]) =>
        own &&
        nowMs - own.atMs < REPORTED_MS &&
        nowMs - reportedByPeerAtMs >= REPORTED_BY_PEER_MS
          ? { incarnation, requestsPerS: own.requestsPerS, ageMs: nowMs - own.atMs }
          : [],
      )
      .slice(-MAX_REPORTED)
  }

  /** Number of servers that name a limit. */
  get count(): number {
    return [...this.#known.values()].filter(
      ({ latest }) => latest.requestsPerS !== undefined,
    ).length
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    const incarnation = incarnationOf(server)
    this.#known.delete(incarnation)
    this.#invalid.delete(incarnation)
  }

  #apply(incarnation: string, observation: Observation): void {
    const known = this.#known.get(incarnation)
    if (known && !isNewer(observation, known.latest)) return
    const isOwn = observation.source === undefined
    const server: KnownServer = {
      latest: observation,
      own: isOwn ? observation : known?.own,
      announced: known?.announced,
      reportedByPeerAtMs: known?.reportedByPeerAtMs ?? Number.NEGATIVE_INFINITY,
    }
    this.#known.delete(incarnation)
    this.#known.set(incarnation, server)
    this.#removeOld()
    const before = server.announced
    const { requestsPerS, atMs, source } = observation
    if (!isSignificant(before, requestsPerS)) return
    server.announced = requestsPerS
    server.reportedByPeerAtMs = Number.NEGATIVE_INFINITY
    const ageMs = this.opts.clock() - atMs
    this.opts.onChange({ incarnation, requestsPerS, before, ageMs, source })
  }

  #removeOld(): void {
    const oldestMs = this.opts.clock() - LIFTED_MEMORY_MS
    for (const [incarnation, { latest }] of this.#known) {
      const isOutdated = latest.requestsPerS === undefined && latest.atMs < oldestMs
      if (isOutdated || this.#known.size > MAX_KNOWN) this.#known.delete(incarnation)
      else return
    }
  }
}

/** Of observations by two instances at the same time the lower limit counts. */
function isNewer(observation: Observation, known: Observation): boolean {
  const areFromOneSource = observation.source === known.source
  if (observation.atMs !== known.atMs || areFromOneSource)
    return observation.atMs >= known.atMs
  const { requestsPerS: limit = Number.POSITIVE_INFINITY } = observation
  return limit < (known.requestsPerS ?? Number.POSITIVE_INFINITY)
}

function isSignificant(before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  return Math.abs(after - before) > before * SIGNIFICANT_CHANGE
}
