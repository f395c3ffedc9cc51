/** Observations of all entry instances on the versions of each service. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import {
  MAX_AGE_MS,
  durationClass,
  mergeObservations,
  type Observation,
  type Outcome,
  type RolloutObservations,
} from './observation.js'

/** Maximum number of observations that are kept; the oldest are dropped first. */
const MAX_ENTRIES = 4_096

/**
 * Maximum number of rows on either version in one report to other instances, which must fit
 * into one datagram; the oldest are left out.
 */
const MAX_REPORTED_ROWS = 24

interface Entry {
  readonly service: string
  readonly version: string
  readonly server: string
  readonly group: string
  readonly outcome: Outcome
  readonly atMs: number
}

interface PeerEvidence {
  readonly receivedAtMs: number
  readonly rollouts: readonly RolloutObservations[]
}

/**
 * Collects observations of this instance and those that others report.
 *
 * @example
 * evidence.recordResult(server, 'lookup', 'ok')
 * evidence.recordSpeed(server, 'lookup', 15)
 * evidence.observations('summariser', 'v2').length // 2
 */
export class VersionEvidence {
  /** The oldest first. */
  #entries: Entry[] = []
  readonly #peers = new Map<string, PeerEvidence>()

  readonly #createdAtMs: number

  private constructor(private readonly clock: Clock) {
    this.#createdAtMs = clock()
  }

  static create(clock: Clock): VersionEvidence {
    return new VersionEvidence(clock)
  }

  /** Time since this instance began to collect observations, in milliseconds. */
  get observedForMs(): number {
    return this.clock() - this.#createdAtMs
  }

  /** Records whether a response was complete and no server error. */
  recordResult(server: BackendServer, group: string, result: 'ok' | 'failed'): void {
    this.#record(server, group, result)
  }

  /** Records how long a response, or an event of a stream, took. */
  recordSpeed(server: BackendServer, group: string, ms: number): void {
    this.#record(server, group, durationClass(ms))
  }

  /** Observations of this instance. */
  localObservations(service: string, target: string): Observation[] {
    const now = this.clock()
    const observations = this.#entries
      .filter((entry) => entry.service === service)
      .map(({ group, version, server, outcome, atMs }) => ({
        group,
        server: version === target ? server : undefined,
        outcome,
        ageMs: now - atMs,
        count: 1,
      }))
    return mergeObservations(observations)
  }

  /** Observations for a report to other instances, the newest ones if there are many. */
  reportedObservations(service: string, target: string): Observation[] {
    const newestFirst = this.localObservations(service, target).toSorted(
      (a, b) => a.ageMs - b.ageMs,
    )
    const old = newestFirst.filter(({ server }) => server === undefined)
    const others = newestFirst.filter(({ server }) => server !== undefined)
    return [...old.slice(0, MAX_REPORTED_ROWS), ...others.slice(0, MAX_REPORTED_ROWS)]
  }

  /** Replaces what another instance reported before. */
  applyReport(peer: string, rollouts: readonly RolloutObservations[]): void {
    if (rollouts.length === 0) this.#peers.delete(peer)
    else this.#peers.set(peer, { receivedAtMs: this.clock(), rollouts })
  }

  /** Observations of all entry instances. */
  observations(service: string, target: string): Observation[] {
    const now = this.clock()
    const all = this.localObservations(service, target)
    for (const { receivedAtMs, rollouts } of this.#peers.values()) {
      const sinceMs = now - receivedAtMs
      for (const rollout of rollouts) {
        if (rollout.service !== service || rollout.target !== target) continue
        for (const observation of rollout.observations) {
          const ageMs = observation.ageMs + sinceMs
          if (ageMs < MAX_AGE_MS) all.push({ ...observation, ageMs })
        }
      }
    }
    return mergeObservations(all)
  }

  /** Removes observations that no longer count, and those of instances that have ended. */
  removeOutdated(alivePeers: ReadonlySet<string>): void {
    for (const peer of this.#peers.keys())
      if (!alivePeers.has(peer)) this.#peers.delete(peer)
    const minAtMs = this.clock() - MAX_AGE_MS
    const firstKept = this.#entries.findIndex(({ atMs }) => atMs >= minAtMs)
    if (firstKept !== 0)
      this.#entries = firstKept < 0 ? [] : this.#entries.slice(firstKept)
  }

  #record(
    { service, version, id }: BackendServer,
    group: string,
    outcome: Outcome,
  ): void {
    const atMs = this.clock()
    this.#entries.push({ service, version, server: id, group, outcome, atMs })
    if (this.#entries.length > MAX_ENTRIES) this.#entries.shift()
  }
}
