/** State of one admitted request across its attempts at backend servers. */
import { cascadeModels } from '../cascade/cascade.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { GatewayConfig, Route, Service, Workspace } from '../model/config.js'
import type { BackendServer } from '../model/backendServer.js'
import type { PromptPart } from '../model/requestMetadata.js'
import type { PromptInFlight } from '../quarantine/promptsInFlight.js'
import { selectPlacement, type Placement } from '../placement/selectPlacement.js'
import { sessionPosition } from '../rollout/rolloutTable.js'
import { Attempt, type AttemptFailure } from './attempt.js'
import type { Caller } from './caller.js'
import type { AttemptLogEntry, RequestOutcome } from './requestLog.js'

/**
 * Share of a server's connection limit, divided equally among the entry instances, that
 * each instance may use.
 */
const CONNECTION_SHARE = 0.9

/** Prompts with a shorter prefill time count as short, in milliseconds: a few engine steps. */
const SHORT_PREFILL_MS = 40

/**
 * Failed connections after which a request gives up: most servers are then unreachable.
 */
const MAX_FAILED_CONNECTS = 4

/**
 * Servers that may crash under one request before it gets no other one: the request may be
 * the cause, and each retry would cost another server.
 */
const MAX_SUSPECTED_CRASHES = 2

/** Urgency levels between adjacent workspace priorities: more than route priorities span. */
const WORKSPACE_URGENCY_STEP = 3

/** Least urgent level that engines support. */
const LOWEST_URGENCY = 9

export interface RequestContextOptions {
  readonly node: GatewayNode
  readonly caller: Caller
  readonly cfg: GatewayConfig
  readonly route: Route
  readonly service: Service
  readonly workspace: Workspace | undefined
  readonly body: Buffer
}

/** An attempt in progress, with what is recorded about it. */
export interface TrackedAttempt {
  readonly attempt: Attempt
  readonly placement: Placement
  readonly logEntry: AttemptLogEntry
  readonly prompt: PromptInFlight
  /** When it was sent, on the monotonic clock. */
  readonly sentAtMs: number
  /** Expected prefill time of the prompts queued ahead of this one, in milliseconds. */
  readonly queuedPrefillMs: number
  /** Records that the server has prefilled the prompt; only the first call counts. */
  recordPrefillDone(): void
  /** Records the attempt's result and releases its load; only the first call counts. */
  complete(result: string): void
}

export class RequestContext {
  readonly attemptLog: AttemptLogEntry[] = []
  /** When the response must be complete, on the monotonic clock. */
  readonly deadlineMs: number
  /**
   * Servers excluded from further attempts because they failed or refused this request.
   */
  readonly #excluded = new Set<string>()
  /** Servers that may have run this request. */
  readonly #mayHaveRunOn = new Set<string>()
  /** Versions of which a response to this request was counted. */
  readonly #countedVersions = new Set<string>()
  readonly #randomPosition: number
  #failedConnects = 0
  #suspectedCrashes = 0

  private constructor(readonly opts: RequestContextOptions) {
    const { caller, route } = opts
    const waitMs = Math.min(
      route.timeoutMs,
      caller.metadata.remainingMs ?? route.timeoutMs,
    )
    this.deadlineMs = caller.arrivedAtMs + waitMs
    this.#randomPosition = opts.node.opts.random()
  }

  static create(opts: RequestContextOptions): RequestContext {
    return new RequestContext(opts)
  }

  /** Models to try, smallest first; empty if the caller names the model. */
  get models(): readonly string[] {
    return cascadeModels(this.opts.route.models, this.opts.node.opts.cascade)
  }

  /** Time until the deadline, in milliseconds. */
  get timeToDeadlineMs(): number {
    return this.deadlineMs - this.opts.node.opts.clock()
  }

  /** Time until the route's target, in milliseconds; negative once it is missed. */
  get timeToTargetMs(): number {
    const { caller, route, node } = this.opts
    return caller.arrivedAtMs + route.targetMs - node.opts.clock()
  }

  /** Whether a server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRunOn.size > 0
  }

  /** Whether the route allows one more server to run the request. */
  get hasAttemptsLeft(): boolean {
    return this.#mayHaveRunOn.size < this.opts.route.maxAttempts
  }

  /**
   * Whether one more server may run the request after `server`, which is running it
   * now.
   */
  hasAttemptsLeftAfter(server: BackendServer): boolean {
    const serverCount =
      this.#mayHaveRunOn.size + (this.#mayHaveRunOn.has(server.id) ? 0 : 1)
    return serverCount < this.opts.route.maxAttempts
  }

  /** Parts of the prompt that other requests may share, in the order of the prompt. */
  get #sharedParts(): readonly PromptPart[] {
    return this.opts.caller.metadata.promptParts.slice(0, -1)
  }

  get sessionKey(): string | undefined {
    return this.opts.caller.metadata.sessionKey
  }

  /**
   * Key of the shared prompt prefix for one model; `undefined` without a shared prefix.
   */
  affinityKey(model: string | undefined): string | undefined {
    const last = this.#sharedParts.at(-1)
    return last && `${model ?? ''} ${last.id}`
  }

  /**
   * Urgency that the engine is given, zero being the most urgent. Short prompts go first:
   * they delay a long one only slightly, but would miss their target behind several long
   * ones. `undefined` for services without models.
   */
  urgency(expectedPrefillMs: number): number | undefined {
    const { route, workspace, service } = this.opts
    if (service.models.length === 0) return undefined
    const routeUrgency = expectedPrefillMs < SHORT_PREFILL_MS ? 0 : 1 + route.priority
    return Math.min(
      LOWEST_URGENCY,
      (workspace?.priority ?? 0) * WORKSPACE_URGENCY_STEP + routeUrgency,
    )
  }

  /** The quarantined part of the prompt that keeps the request from being sent. */
  findQuarantinedPart(): string | undefined {
    return this.opts.node.opts.quarantine.admit(this.#sharedParts)
  }

  /** Whether so many servers crashed under the request that it may be the cause. */
  get mayCrashServers(): boolean {
    return this.#suspectedCrashes >= MAX_SUSPECTED_CRASHES
  }

  /** Selects the server for the next attempt, `undefined` if none can accept it. */
  selectPlacement(model: string | undefined): Placement | undefined {
    const { node, service, caller } = this.opts
    const { health, prefillSpeeds, load, random, zone, rollouts, servers } = node.opts
    const { cachedPrefixes, connections } = node.opts
    const versionFilters = rollouts.versionFilters(
      service.name,
      this.#rolloutPosition(),
      this.sessionKey,
    )
    const candidates = versionFilters
      .map((allows) =>
        servers.ready(service.name).filter(({ version }) => allows(version)),
      )
      .find((found) => found.length > 0)
    const untried = candidates?.filter(({ id }) => !this.#excluded.has(id)) ?? []
    // If every server is excluded, one that may have run the request may succeed on a retry.
    const eligible =
      untried.length > 0 ? untried : (candidates ?? []).filter((s) => this.#mayRetryOn(s))
    const maxConnections = this.#maxConnections()
    const withFreeConnection = eligible.filter(
      ({ id }) => connections.count(id) < maxConnections,
    )
    const { promptTokens } = caller.metadata
    const sharedTokens = this.#sharedParts.reduce((sum, { tokens }) => sum + tokens, 0)
    const affinityKey = this.affinityKey(model)
    return selectPlacement(
      health.usable(withFreeConnection),
      {
        affinityKey,
        hasCachedPrefix: (id) =>
          affinityKey !== undefined && cachedPrefixes.has(id, affinityKey),
        sharedTokens,
        uniqueTokens: Math.max(0, promptTokens - sharedTokens),
        prefillMsPerToken: (precedingTokens) =>
          prefillSpeeds.msPerToken(model ?? '', precedingTokens),
        zone,
      },
      (id) => load.total(id),
      random,
    )
  }

  /** Sends the request to a server. */
  startAttempt(
    placement: Placement,
    model: string | undefined,
    lastEventId: number | undefined,
  ): TrackedAttempt {
    const { node, caller, workspace, body, service, route } = this.opts
    const { clock, load, dialect, connections, metrics, rollouts, quarantine } = node.opts
    const { server, prefillMs } = placement
    const sentAtMs = clock()
    const queuedPrefillMs = load.total(server.id).waitingMs
    // A request that must not run twice gets a connection that was never used before.
    const keepAlive = route.kind !== 'once'
    const attempt = Attempt.start({
      host: server.host,
      port: server.port,
      agent: keepAlive ? connections.agentFor(server) : undefined,
      method: caller.req.method ?? 'GET',
      path: caller.req.url ?? '/',
      headers: dialect.backendRequestHeaders(caller.req.rawHeaders, {
        serverId: server.id,
        remainingMs: Math.max(1, Math.floor(this.timeToDeadlineMs)),
        workspace: workspace?.name,
        model,
        urgency: this.urgency(prefillMs),
        lastEventId,
        bodyBytes: body.length,
        keepAlive,
      }),
      body,
      requestId: caller.metadata.requestId,
      readResponseMetadata: dialect.readResponse,
    })
    const logEntry: AttemptLogEntry = {
      server: server.id,
      version: server.version,
      model,
      sentAtMs: Math.round(sentAtMs - caller.arrivedAtMs),
      expectedMs: Math.round(placement.expectedFirstByteMs),
      result: 'in_progress',
      tookMs: 0,
    }
    this.attemptLog.push(logEntry)
    const prompt = quarantine.begin(server, this.#sharedParts)
    load.begin(server.id, prefillMs)
    let isPrefillDone = false
    const recordPrefillDone = (): void => {
      if (isPrefillDone) return
      isPrefillDone = true
      const affinityKey = this.affinityKey(model)
      if (affinityKey !== undefined)
        node.opts.cachedPrefixes.record(server.id, affinityKey)
      load.prefillDone(server.id, prefillMs)
    }
    let isComplete = false
    const complete = (result: string): void => {
      if (isComplete) return
      isComplete = true
      if (!isPrefillDone) load.prefillDone(server.id, prefillMs)
      isPrefillDone = true
      load.end(server.id)
      prompt.end()
      logEntry.result = result
      logEntry.tookMs = Math.round(clock() - sentAtMs)
      metrics.attempts.inc({ result })
    }
    if (this.sessionKey !== undefined && this.#isOldVersion(server)) {
      rollouts.recentSessions.recordUse(service.name, this.sessionKey)
    }
    if (this.attemptLog.length === 1) node.retryBudget(service.name).recordRequest()
    return {
      attempt,
      placement,
      logEntry,
      prompt,
      sentAtMs,
      queuedPrefillMs,
      recordPrefillDone,
      complete,
    }
  }

  /** Records how a response ended, for the server's health and its version's rollout. */
  recordResult(server: BackendServer, result: 'ok' | 'failed'): void {
    this.opts.node.opts.health.recordResult(server.id, result === 'ok')
    this.#countResult(server, result)
  }

  /**
   * Records how long something took that is compared during a rollout.
   *
   * @param group What may be compared, such as the pauses of one model's streams.
   */
  recordSpeed(server: BackendServer, group: string, ms: number): void {
    this.opts.node.opts.evidence.recordSpeed(server, group, ms)
  }

  /** Records that an attempt could not be sent. */
  recordNotSent({ placement, prompt }: TrackedAttempt, failure: AttemptFailure): void {
    prompt.discard()
    if (failure.isRefused)
      this.opts.node.opts.quarantine.recordRefusedConnection(placement.server)
    this.recordUnreachable(placement.server)
  }

  /**
   * Records that the connection of an attempt broke. If the request may be the cause, waits
   * until it is known whether the server has ended.
   */
  async recordBroken({ placement, prompt }: TrackedAttempt): Promise<void> {
    if (this.#sharedParts.length === 0) return
    const check = this.opts.node.opts.quarantine.hasEnded(placement.server)
    if (prompt.isSuspect && (await check)) this.#suspectedCrashes += 1
  }

  /** Records that a server can't be reached or has stopped responding. */
  recordUnreachable(server: BackendServer): void {
    this.opts.node.opts.health.recordUnreachable(server.id)
    this.#countResult(server, 'failed')
  }

  /** Records that a server may have run the request. */
  recordMayHaveRun(server: BackendServer): void {
    this.#mayHaveRunOn.add(server.id)
  }

  /** Excludes a server from further attempts of this request. */
  exclude(server: BackendServer): void {
    this.#excluded.add(server.id)
  }

  /** Takes one retry from the service's retry budget; false if the budget is exhausted. */
  tryAcquireRetry(reason: string): boolean {
    const { node, service } = this.opts
    if (!node.retryBudget(service.name).tryAcquire()) return false
    node.opts.metrics.retries.inc({ reason })
    return true
  }

  /**
   * Whether the request may be retried after an attempt that failed for this reason. A
   * retry after a failed connection is recorded in the retry budget but not limited by
   * it, because the request was never sent; it is allowed until `MAX_FAILED_CONNECTS`
   * connections have failed.
   */
  mayRetryAfter(reason: string): boolean {
    const wasNeverSent = reason === 'connect_failed' || reason === 'connect_timeout'
    if (!wasNeverSent) return this.tryAcquireRetry(reason)
    this.#failedConnects += 1
    this.opts.node.opts.metrics.retries.inc({ reason })
    this.opts.node.retryBudget(this.opts.service.name).recordRetry()
    return this.#failedConnects < MAX_FAILED_CONNECTS
  }

  /** Records the request's outcome in the metrics and the log. */
  finish(outcome: RequestOutcome): void {
    const { node, caller, route, workspace, cfg } = this.opts
    const { log, metrics, clock } = node.opts
    const tookMs = Math.round(clock() - caller.arrivedAtMs)
    metrics.requests.inc({ outcome: outcome.outcome })
    if (outcome.reason) metrics.refusals.inc({ reason: outcome.reason })
    if (outcome.outcome === 'answered') metrics.responseSeconds.observe(tookMs / 1_000)
    log('request', {
      id: caller.metadata.requestId,
      route: route.name,
      workspace: workspace?.name,
      config: cfg.version,
      ...outcome,
      tookMs,
      leftMs: Math.round(this.timeToDeadlineMs),
      promptParts: this.#sharedParts.map(({ id }) => id),
      attempts: this.attemptLog,
    })
  }

  /**
   * Counts a response for the rollout of its version, the first one only: where the cause is
   * the request, all its attempts fail.
   */
  #countResult(server: BackendServer, result: 'ok' | 'failed'): void {
    if (this.#countedVersions.has(server.version)) return
    this.#countedVersions.add(server.version)
    this.opts.node.opts.evidence.recordResult(server, this.opts.route.name, result)
  }

  #isOldVersion({ version }: BackendServer): boolean {
    const rollout = this.opts.node.opts.rollouts.get(this.opts.service.name)
    return rollout?.state !== 'running' || rollout.target !== version
  }

  /**
   * Position in the order in which requests move to a new version, from 0 to 1: the same
   * for all requests of a session, otherwise random.
   */
  #rolloutPosition(): number {
    const target = this.opts.node.opts.rollouts.get(this.opts.service.name)?.target
    const { sessionKey } = this
    return target !== undefined && sessionKey !== undefined
      ? sessionPosition(target, sessionKey)
      : this.#randomPosition
  }

  #mayRetryOn(server: BackendServer): boolean {
    return (
      this.#mayHaveRunOn.has(server.id) &&
      !this.opts.node.opts.health.isUnreachable(server.id)
    )
  }

  /** Maximum connections of this instance to one server. */
  #maxConnections(): number {
    const { node, service } = this.opts
    const equalShare = service.connectionLimit / node.opts.peers.peakAliveCount
    return Math.max(2, equalShare * CONNECTION_SHARE)
  }
}
