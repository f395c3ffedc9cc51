/**
 * Keeps requests that crash backend servers away from them: relates crashes to the traits of
 * the requests in flight, and quarantines the trait that explains them.
 */
import type { Clock } from '@wagtailway/core'
import type { ConnectionResult } from '../forward/probeConnection.js'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import { CrashEvidence, type ReportedCrash, type ReportedSound } from './crashEvidence.js'
import { findCrashingTrait, type ServerCrash } from './findCrashingTrait.js'
import {
  TraitQuarantine,
  isQuarantined,
  type TraitState,
  type ReportedTraitState,
} from './traitQuarantine.js'
import { contentIdOf, isContent, type RequestTrait } from './requestTrait.js'
import { RequestsInFlight, type RequestInFlight } from './requestsInFlight.js'
import { ServerEnds, type EndEvidence } from './serverEnds.js'

/**
 * Time after a trait was quarantined in which late reports may show that another one is at
 * fault, in milliseconds.
 */
const REVISION_MS = 10_000

/** What an entry instance reports to the others. */
export interface CrashReport {
  readonly crashes: readonly ReportedCrash[]
  readonly sound: readonly ReportedSound[]
  readonly traits: readonly ReportedTraitState[]
}

export interface CrashQuarantineOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Pick<
    GatewayMetrics,
    'serverCrashes' | 'quarantinedParts' | 'quarantinedRequests'
  >
  /** Tries to reach a server, on any path. */
  readonly probe: (server: BackendServer) => Promise<ConnectionResult>
  readonly isPlannedEnd: (server: BackendServer) => boolean
}

/**
 * Quarantine of one process.
 *
 * @example
 * const traits = requestTraits(parts, contentId)
 * if (quarantine.admit(traits) === undefined) quarantine.begin(server, traits)
 */
export class CrashQuarantine {
  /** Called when the other instances should learn at once what this one saw. */
  onNews: () => void = () => undefined
  /** Called when the states of traits have changed, to store them. */
  onStatesChanged: () => void = () => undefined
  /** Called with a trait that is due for a probe, to claim the right to it. */
  onProbeDue: (state: TraitState) => void = () => undefined
  readonly traits: TraitQuarantine
  readonly #evidence: CrashEvidence
  readonly #requests: RequestsInFlight
  readonly #ends: ServerEnds

  private constructor(private readonly opts: CrashQuarantineOptions) {
    this.#evidence = CrashEvidence.create(opts.clock)
    this.traits = TraitQuarantine.create(opts.clock, (state, reason) => {
      this.#reportChange(state, reason)
    })
    this.#requests = RequestsInFlight.create(opts.clock, (traits, beganAtMs) => {
      this.#recordSound(traits, beganAtMs)
    })
    this.#ends = ServerEnds.create({
      probe: opts.probe,
      isPlannedEnd: opts.isPlannedEnd,
      onCrash: (server, evidence) => {
        this.#recordCrash(server, evidence)
      },
    })
  }

  static create(opts: CrashQuarantineOptions): CrashQuarantine {
    return new CrashQuarantine(opts)
  }

  /** Records a request to a server. */
  begin(server: BackendServer, traits: readonly RequestTrait[]): RequestInFlight {
    return this.#requests.begin(server, traits)
  }

  /** The quarantined trait that keeps a request from being sent, if there is one. */
  admit(traits: readonly RequestTrait[]): string | undefined {
    const refusing = this.traits.admit(traits.map(({ id }) => id))
    const due = refusing === undefined ? undefined : this.traits.dueForProbe(refusing)
    if (due) this.onProbeDue(due)
    return refusing
  }

  /** Checks whether a server has ended after a connection to it broke. */
  hasEnded(server: BackendServer): Promise<boolean> {
    return this.#ends.hasEnded(server)
  }

  /** Records that a server refused a connection. */
  recordRefusedConnection(server: BackendServer): void {
    this.#ends.record(server, 'connection_refused')
  }

  /** Records that another incarnation has taken a server's place. */
  recordRestart(server: BackendServer): void {
    this.#ends.record(server, 'restarted')
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    this.#requests.forget(incarnationOf(server))
  }

  get report(): CrashReport {
    return {
      crashes: this.#evidence.reportedCrashes,
      sound: this.#evidence.reportedSound,
      traits: this.traits.reportedStates,
    }
  }

  /** Applies the report of another entry instance. */
  applyReport(peer: string, { crashes, sound, traits }: CrashReport): void {
    const hasNews = this.#evidence.applyReport(peer, crashes, sound)
    this.traits.merge(traits)
    if (!hasNews) return
    for (const { incarnation } of crashes) this.#addOwnTraits(incarnation)
    this.#evaluate()
  }

  /**
   * Drops outdated state and weighs the evidence again, as sound responses may have told two
   * traits apart; call it regularly.
   */
  refresh(alivePeers: ReadonlySet<string>): void {
    this.#evidence.retainPeers(alivePeers)
    this.traits.releaseUnused()
    if (this.#evidence.crashes().length > 0) this.#evaluate()
  }

  #recordCrash(server: BackendServer, evidence: EndEvidence): void {
    const { log, metrics } = this.opts
    const incarnation = incarnationOf(server)
    const traits = this.#requests.traitsAt(incarnation)
    metrics.serverCrashes.inc({ service: server.service })
    log('server_crashed', {
      server: server.id,
      startedAtMs: server.startedAtMs,
      service: server.service,
      version: server.version,
      evidence,
      promptParts: [...traits.keys()].filter((id) => !isContent(id)),
      contents: [...traits.keys()].flatMap((id) => contentIdOf(id) ?? []),
    })
    this.#evidence.recordCrash(incarnation, traits)
    this.onNews()
    this.#evaluate()
  }

  /** Adds what this process had in flight at a server whose crash another one reported. */
  #addOwnTraits(incarnation: string): void {
    if (this.#evidence.hasOwnCrash(incarnation)) return
    const traits = this.#requests.traitsAt(incarnation)
    if (traits.size === 0) return
    this.#evidence.recordCrash(incarnation, traits)
    this.onNews()
  }

  #recordSound(traits: readonly RequestTrait[], beganAtMs: number): void {
    const ids = traits.map(({ id }) => id)
    this.#evidence.recordSound(ids, beganAtMs)
    for (const trait of ids) {
      if (!this.traits.has(trait)) continue
      const crashedAtMs =
        this.#evidence.latestCrashAtMs(trait) ?? this.traits.changedAtMs(trait)
      if (beganAtMs > crashedAtMs) this.traits.release(trait, 'sound_response')
    }
  }

  #evaluate(): void {
    for (const trait of this.traits.changedSince(this.opts.clock() - REVISION_MS)) {
      const better = this.#findUnexplained(trait)
      if (better !== undefined && better !== trait)
        this.traits.release(trait, 'better_explanation')
    }
    for (;;) {
      const trait = this.#findUnexplained()
      if (trait === undefined) return
      this.traits.quarantine(trait, 'crashes')
    }
  }

  /**
   * The trait that is at fault for the crashes that no quarantined trait explains.
   *
   * @param ignored Part that counts as not quarantined.
   */
  #findUnexplained(ignored?: string): string | undefined {
    const explanationsOf = ({ traits }: ServerCrash): string[] =>
      [...traits.keys()].filter((trait) => trait !== ignored && this.traits.has(trait))
    const crashes = this.#evidence.crashes()
    return findCrashingTrait(
      crashes.filter((crash) => explanationsOf(crash).length === 0),
      (trait) => this.#evidence.sound(trait),
      crashes.flatMap((crash) => {
        const explainedBy = explanationsOf(crash)
        const isByContent = explainedBy.length > 0 && explainedBy.every(isContent)
        return isByContent ? { ...crash, explainedBy } : []
      }),
    )
  }

  #reportChange(state: TraitState, reason: string): void {
    const { log, metrics, clock } = this.opts
    const { trait, generation } = state
    const crashes = this.#evidence.crashes().filter(({ traits }) => traits.has(trait))
    const sound = this.#evidence.sound(trait)
    const contentId = contentIdOf(trait)
    const { quarantined } = this.traits
    const contentCount = quarantined.filter(isContent).length
    metrics.quarantinedParts.set(quarantined.length - contentCount)
    metrics.quarantinedRequests.set(contentCount)
    const kind = contentId === undefined ? 'part' : 'request'
    log(isQuarantined(state) ? `${kind}_quarantined` : `${kind}_released`, {
      ...(contentId === undefined ? { part: trait } : { content: contentId }),
      generation,
      reason,
      crashAgesMs: crashes.map(({ atMs }) => Math.round(clock() - atMs)),
      soundCount: sound?.count ?? 0,
      soundAgeMs: sound && Math.round(clock() - sound.latestBeganAtMs),
    })
    this.onStatesChanged()
    if (reason !== 'told') this.onNews()
  }
}
