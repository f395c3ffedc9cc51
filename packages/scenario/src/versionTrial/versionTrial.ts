/** One rollout of a plain service in virtual time, decided by the gateway's code. */
import { VirtualClock, seededRandom, type Random } from '@wagtailway/core'
import {
  LoadTable,
  ROLLOUT_POLL_MS,
  RecentSessions,
  RolloutController,
  RolloutTable,
  ServerTable,
  VersionEvidence,
  type BackendServer,
  type Log,
  type Rollout,
} from '@wagtailway/gateway'
import {
  ROUTES,
  type TrialResponse,
  type TrialRoute,
  type Trouble,
  type VersionKind,
} from './versionKinds.js'

export interface VersionTrialOptions {
  readonly seed: number
  readonly requestsPerSecond: number
  readonly kind: VersionKind
  readonly trouble?: Trouble
  /** @default 15_000 */
  readonly durationMs?: number
  /**
   * When all instances start again without any memory, after the order, in milliseconds.
   *
   * @default never
   */
  readonly restartAtMs?: number
  /** @default discards the lines */
  readonly log?: Log
}

export interface VersionTrialResult {
  /** Requests that reached the new version until the deadline. */
  readonly exposed: number
  /** Requests that may reach a bad version until the deadline. */
  readonly allowed: number
  /** Bad responses of the new version until nothing was sent to it any more. */
  readonly badResponses: number
  /** Requests to a bad version after the time in which it must be withdrawn. */
  readonly lateRequests: number
  readonly state: Rollout['state']
  /** Time from the order to the end of the rollout, in milliseconds. */
  readonly endedAfterMs: number | undefined
}

const SERVICE = 'plain'
const OLD_VERSION = 'v1'
const NEW_VERSION = 'v2'
const SERVERS_PER_VERSION = 3

const EXPOSURE = { share: 0.15, slack: 30 }

const WARM_UP_MS = 12_000
const DEFAULT_DURATION_MS = 15_000

/**
 * Longest time until a response is reported to all instances, and the time until a new state
 * is known to them, in milliseconds.
 */
const REPORT_INTERVAL_MS = 300
const STATE_DELAY_MS = 150

/** How long a rollout is observed, as a multiple of its duration. */
const OBSERVED_DURATIONS = 3

const USUAL_MS = 15

/** Width of the distribution of response times: that of their logarithm. */
const SPREAD = 0.5

const MS_PER_SECOND = 1_000

/** A version must get no request later than so long after so many bad responses. */
const WITHDRAWAL_MS = 5_000
const MAX_BAD_RESPONSES = 50

interface PendingObservation {
  readonly knownAtMs: number
  readonly record: () => void
}

/**
 * Simulates one rollout.
 *
 * @example
 * (await versionTrial({ seed: 1, requestsPerSecond: 16, kind: BAD_VERSIONS.slow })).state
 */
export async function versionTrial(
  opts: VersionTrialOptions,
): Promise<VersionTrialResult> {
  return VersionTrial.create(opts).run()
}

class VersionTrial {
  readonly #clock = VirtualClock.create(0)
  readonly #random: Random
  readonly #servers = ServerTable.create(this.#clock.now, () => undefined)
  readonly #rollouts = RolloutTable.create(
    this.#clock.now,
    RecentSessions.create(this.#clock.now, MS_PER_SECOND),
  )
  #evidence = VersionEvidence.create(this.#clock.now)
  #controller: RolloutController
  readonly #pending: PendingObservation[] = []
  readonly #durationMs: number
  #requests = 0
  #exposed = 0
  #badResponses = 0
  #lateRequests = 0
  #mustBeWithdrawnAtMs = Number.POSITIVE_INFINITY
  #endedAfterMs: number | undefined

  private constructor(private readonly opts: VersionTrialOptions) {
    this.#random = seededRandom(opts.seed)
    this.#durationMs = opts.durationMs ?? DEFAULT_DURATION_MS
    this.#controller = this.#createController()
  }

  static create(opts: VersionTrialOptions): VersionTrial {
    return new VersionTrial(opts)
  }

  async run(): Promise<VersionTrialResult> {
    this.#addServers(OLD_VERSION)
    let nextRequestMs = 0
    let hasRestarted = false
    const endMs = WARM_UP_MS + this.#durationMs * OBSERVED_DURATIONS
    for (let pollMs = 0; pollMs < endMs; pollMs += ROLLOUT_POLL_MS) {
      if (pollMs === WARM_UP_MS) this.#order()
      const { restartAtMs } = this.opts
      if (!hasRestarted && restartAtMs !== undefined && this.#sinceOrder >= restartAtMs) {
        hasRestarted = true
        this.#restart()
      }
      while (nextRequestMs < pollMs + ROLLOUT_POLL_MS) {
        this.#advanceTo(nextRequestMs)
        this.#request()
        nextRequestMs +=
          (-Math.log(1 - this.#random()) / this.opts.requestsPerSecond) * MS_PER_SECOND
      }
      this.#advanceTo(pollMs + ROLLOUT_POLL_MS)
      await this.#controller.advance()
      if (this.#endedAfterMs !== undefined && this.#isSettled) break
    }
    return {
      exposed: this.#exposed,
      allowed: EXPOSURE.share * this.#requests + EXPOSURE.slack,
      badResponses: this.#badResponses,
      lateRequests: this.#lateRequests,
      state: this.#rollouts.get(SERVICE)?.state ?? 'running',
      endedAfterMs: this.#endedAfterMs,
    }
  }

  get #sinceOrder(): number {
    return this.#clock.now() - WARM_UP_MS
  }

  /** Whether nothing more is to be observed after the end of the rollout. */
  get #isSettled(): boolean {
    return this.#sinceOrder > Math.max(this.#durationMs, this.#endedAfterMs ?? 0) + 1_000
  }

  #order(): void {
    this.#addServers(NEW_VERSION)
    this.#rollouts.put({
      service: SERVICE,
      target: NEW_VERSION,
      durationMs: this.#durationMs,
      state: 'running',
      share: 0,
      revision: 1,
    })
  }

  #addServers(version: string): void {
    const servers = Array.from(
      { length: SERVERS_PER_VERSION },
      (_, i): BackendServer => ({
        id: `${version}-${i}`,
        startedAtMs: 1,
        service: SERVICE,
        host: '127.0.0.1',
        port: 1,
        zone: `z${i}`,
        version,
        slots: 6,
        isDraining: false,
      }),
    )
    this.#servers.apply(servers.map((server) => ({ id: server.id, server })))
  }

  #createController(): RolloutController {
    return RolloutController.create({
      clock: this.#clock.now,
      log: this.opts.log ?? (() => undefined),
      rollouts: this.#rollouts,
      evidence: this.#evidence,
      servers: this.#servers,
      load: LoadTable.create(this.#clock.now),
      exposure: EXPOSURE,
      instanceCount: () => 1,
      rank: () => 0,
      peerElapsedMs: () => 0,
      write: (rollout) => {
        this.#pending.push({
          knownAtMs: this.#clock.now() + STATE_DELAY_MS,
          record: () => {
            this.#applyState(rollout)
          },
        })
        return Promise.resolve()
      },
    })
  }

  #applyState(rollout: Rollout): void {
    const known = this.#rollouts.get(SERVICE)
    if (known?.state !== 'running') return
    this.#rollouts.put({ ...rollout, revision: known.revision + 1 })
    if (rollout.state !== 'running') this.#endedAfterMs = this.#sinceOrder
  }

  /** All instances start again; they know the stored state, but no responses. */
  #restart(): void {
    this.#evidence = VersionEvidence.create(this.#clock.now)
    this.#controller = this.#createController()
  }

  #request(): void {
    const { opts } = this
    const random = this.#random
    const sinceOrderMs = this.#sinceOrder
    const filters = this.#rollouts.versionFilters(SERVICE, random())
    const serverIndex = Math.floor(random() * SERVERS_PER_VERSION)
    const version = [OLD_VERSION, NEW_VERSION].find((v) => filters[0]?.(v))
    if (version === undefined) return
    const isNew = version === NEW_VERSION && sinceOrderMs >= 0
    const server = `${version}-${serverIndex}`
    const route = pickRoute(random)
    const usual = usualResponse(random, route)
    const hasFullLoad = (this.#rollouts.get(SERVICE)?.share ?? 0) >= 1
    const response = isNew
      ? opts.kind({ random, sinceOrderMs, route, hasFullLoad, usual })
      : usual
    const isLost = opts.trouble?.({ random, sinceOrderMs, server }) ?? false
    this.#countRequest(isNew, response !== usual)
    this.#observe(version, server, route, { ...response, isLost })
  }

  #countRequest(isNew: boolean, isBad: boolean): void {
    if (this.#sinceOrder >= 0 && this.#sinceOrder < this.#durationMs) {
      this.#requests += 1
      if (isNew) this.#exposed += 1
    }
    const now = this.#clock.now()
    if (isNew && now > this.#mustBeWithdrawnAtMs) this.#lateRequests += 1
    if (!isBad) return
    this.#badResponses += 1
    if (this.#badResponses === MAX_BAD_RESPONSES)
      this.#mustBeWithdrawnAtMs = now + WITHDRAWAL_MS
  }

  #observe(
    version: string,
    serverId: string,
    route: TrialRoute,
    { isFailure, ms, isLost }: TrialResponse & { readonly isLost: boolean },
  ): void {
    const server = this.#servers.get(serverId)
    if (server?.version !== version) return
    const hasFailed = isFailure || isLost
    const evidence = this.#evidence
    this.#pending.push({
      knownAtMs: this.#clock.now() + ms + this.#random() * REPORT_INTERVAL_MS,
      record: () => {
        evidence.recordResult(server, route.name, hasFailed ? 'failed' : 'ok')
        if (!hasFailed) evidence.recordSpeed(server, route.name, ms)
      },
    })
  }

  /** Advances the clock; what becomes known until then is recorded. */
  #advanceTo(atMs: number): void {
    const due = this.#pending.filter(({ knownAtMs }) => knownAtMs <= atMs)
    const rest = this.#pending.filter(({ knownAtMs }) => knownAtMs > atMs)
    this.#pending.splice(0, this.#pending.length, ...rest)
    for (const { knownAtMs, record } of due.toSorted(
      (a, b) => a.knownAtMs - b.knownAtMs,
    )) {
      this.#clock.advance(Math.max(0, knownAtMs - this.#clock.now()))
      record()
    }
    this.#clock.advance(Math.max(0, atMs - this.#clock.now()))
  }
}

function pickRoute(random: Random): TrialRoute {
  let remaining = random()
  for (const route of ROUTES) {
    remaining -= route.share
    if (remaining < 0) return route
  }
  return ROUTES[0] ?? { name: '', share: 1, failureShare: 0 }
}

function usualResponse(random: Random, { failureShare }: TrialRoute): TrialResponse {
  // A sum of twelve uniform numbers is close to a normal distribution.
  const normal = Array.from({ length: 12 }, random).reduce((a, b) => a + b, -6)
  const ms = USUAL_MS * Math.exp(normal * SPREAD)
  return { isFailure: random() < failureShare, ms }
}
