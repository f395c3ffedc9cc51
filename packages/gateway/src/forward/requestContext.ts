/** One request that has passed its checks, on its way to a backend server. */
import { cascadeModels } from '../cascade/cascade.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { GatewayConfig, Route, Service, Workspace } from '../model/config.js'
import type { BackendServer } from '../model/backendServer.js'
import { selectPlacement, type Placement } from '../placement/selectPlacement.js'
import { sessionPosition } from '../rollout/rolloutTable.js'
import { Attempt } from './attempt.js'
import type { ResponseOutcome } from '../rollout/serverEvidence.js'
import type { Caller } from './caller.js'
import type { AttemptLine, RequestOutcome } from './requestLog.js'

/** Part of a server's connections that one entry instance may use of its equal share. */
const CONNECTION_SHARE = 0.9

/** Prompts that are read within this time are short, in milliseconds: a few engine steps. */
const SHORT_READING_MS = 40

/** Servers that one request tries in vain to connect to; then most are gone. */
const MOST_FAILED_CONNECTS = 4

/** Steps of urgency between two priorities of workspaces: more than routes have. */
const WORKSPACE_STEP = 3

/** The least urgent that an engine knows. */
const LAST_URGENCY = 9

export interface ContextOptions {
  readonly node: GatewayNode
  readonly caller: Caller
  readonly cfg: GatewayConfig
  readonly route: Route
  readonly service: Service
  readonly workspace: Workspace | undefined
  readonly body: Buffer
}

/** A send that has begun. */
export interface Sent {
  readonly attempt: Attempt
  readonly place: Placement
  readonly line: AttemptLine
  /** Time that prompts ahead of this one were expected to take, in milliseconds. */
  readonly aheadMs: number
  /** Notes that the prompt has been read. */
  promptRead(): void
  /** Ends the send's accounts. */
  end(result: string): void
}

export class RequestContext {
  readonly lines: AttemptLine[] = []
  /** When the answer must have ended, on the monotonic clock. */
  readonly deadlineMs: number
  /** Servers that failed or refused this request. */
  readonly #spent = new Set<string>()
  /** Servers that may have run this request. */
  readonly #ranOn = new Set<string>()
  readonly #randomPlace: number
  #failedConnects = 0

  private constructor(readonly opts: ContextOptions) {
    const { caller, route } = opts
    const waitMs = Math.min(route.timeoutMs, caller.facts.remainingMs ?? route.timeoutMs)
    this.deadlineMs = caller.arrivedAtMs + waitMs
    this.#randomPlace = opts.node.opts.random()
  }

  static create(opts: ContextOptions): RequestContext {
    return new RequestContext(opts)
  }

  /** Models that the request is tried on; empty if the caller names one. */
  get models(): readonly string[] {
    return cascadeModels(this.opts.route.models, this.opts.node.opts.cascade)
  }

  get leftMs(): number {
    return this.deadlineMs - this.opts.node.opts.clock()
  }

  get toTargetMs(): number {
    const { caller, route, node } = this.opts
    return caller.arrivedAtMs + route.targetMs - node.opts.clock()
  }

  /** Whether a server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#ranOn.size > 0
  }

  /** Whether the route allows that one more server runs the request. */
  get hasAttemptsLeft(): boolean {
    return this.#ranOn.size < this.opts.route.maxAttempts
  }

  /** Whether another server may run the request after one that is running it now. */
  hasAttemptsLeftAfter(server: BackendServer): boolean {
    const ran = this.#ranOn.size + (this.#ranOn.has(server.id) ? 0 : 1)
    return ran < this.opts.route.maxAttempts
  }

  get sessionKey(): string | undefined {
    return this.opts.caller.facts.session
  }

  /** What requests with the same shared prompt have in common, for one model. */
  affinityKey(model: string | undefined): string | undefined {
    const last = this.opts.caller.facts.promptParts.at(-2)
    return last && `${model ?? ''} ${last.id}`
  }

  /**
   * Urgency at an engine. Prompts that are read in a moment go first: they delay a long
   * one by little, while behind several long ones they would miss their target.
   */
  urgency(readingMs: number): number | undefined {
    const { route, workspace, service } = this.opts
    if (service.models.length === 0) return undefined
    const ofRoute = readingMs < SHORT_READING_MS ? 0 : 1 + route.priority
    return Math.min(LAST_URGENCY, (workspace?.priority ?? 0) * WORKSPACE_STEP + ofRoute)
  }

  /** The place for the next send, `undefined` if no server takes it. */
  pick(model: string | undefined): Placement | undefined {
    const { node, service, caller } = this.opts
    const {
      health,
      prefillSpeeds: speeds,
      load,
      random,
      zone,
      rollouts,
      servers,
    } = node.opts
    const { cachedPrefixes: readParts, connections } = node.opts
    const versions = rollouts.versionFilters(
      service.name,
      this.#rolloutPlace(),
      this.sessionKey,
    )
    const known = versions
      .map((allows) =>
        servers.ready(service.name).filter(({ version }) => allows(version)),
      )
      .find((found) => found.length > 0)
    const fresh = known?.filter(({ id }) => !this.#spent.has(id)) ?? []
    // The only server there is may succeed where it just failed.
    const usable =
      fresh.length > 0 ? fresh : (known ?? []).filter((s) => this.#mayRetryOn(s))
    const share = this.#connectionShare()
    const open = usable.filter(({ id }) => connections.count(id) < share)
    const { promptParts, promptTokens } = caller.facts
    const shared = promptParts.slice(0, -1)
    const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0)
    const key = this.affinityKey(model)
    return selectPlacement(
      health.usable(open),
      {
        affinityKey: key,
        hasCachedPrefix: (id) => key !== undefined && readParts.has(id, key),
        sharedTokens,
        uniqueTokens: Math.max(0, promptTokens - sharedTokens),
        prefillMsPerToken: (before) => speeds.msPerToken(model ?? '', before),
        zone,
      },
      (id) => load.total(id),
      random,
    )
  }

  /** Sends the request. */
  send(
    place: Placement,
    model: string | undefined,
    lastEventId: number | undefined,
  ): Sent {
    const { node, caller, workspace, body, service, route } = this.opts
    const { clock, load, dialect, connections, metrics, rollouts } = node.opts
    const { server, prefillMs: readingMs } = place
    const sentAtMs = clock()
    const aheadMs = load.total(server.id).waitingMs
    // A request that must not run twice gets a connection that nothing else has used.
    const isKept = route.kind !== 'once'
    const attempt = Attempt.start({
      host: server.host,
      port: server.port,
      agent: isKept ? connections.agentFor(server) : undefined,
      method: caller.req.method ?? 'GET',
      path: caller.req.url ?? '/',
      headers: dialect.backendRequestHeaders(caller.req.rawHeaders, {
        serverId: server.id,
        remainingMs: Math.max(1, Math.floor(this.leftMs)),
        workspace: workspace?.name,
        model,
        urgency: this.urgency(readingMs),
        lastEventId,
        bodyBytes: body.length,
        keepAlive: isKept,
      }),
      body,
      requestId: caller.facts.requestId,
      readAnswer: dialect.readResponse,
    })
    const line: AttemptLine = {
      server: server.id,
      version: server.version,
      model,
      sentAtMs: Math.round(sentAtMs - caller.arrivedAtMs),
      expectedMs: Math.round(place.expectedMs),
      result: 'in_progress',
      tookMs: 0,
    }
    this.lines.push(line)
    load.begin(server.id, readingMs)
    let isRead = false
    const promptRead = (): void => {
      if (isRead) return
      isRead = true
      const key = this.affinityKey(model)
      if (key !== undefined) node.opts.cachedPrefixes.note(server.id, key)
      load.prefillDone(server.id, readingMs)
    }
    let isOver = false
    const end = (result: string): void => {
      if (isOver) return
      isOver = true
      if (!isRead) load.prefillDone(server.id, readingMs)
      isRead = true
      load.end(server.id)
      line.result = result
      line.tookMs = Math.round(clock() - sentAtMs)
      metrics.attempts.inc({ result })
    }
    if (this.sessionKey !== undefined && this.#isOldVersion(server)) {
      rollouts.sessions.noteUse(service.name, this.sessionKey)
    }
    if (this.lines.length === 1) node.budget(service.name).noteRequest()
    return { attempt, place, line, aheadMs, promptRead, end }
  }

  /** Notes how an answer turned out, for the server's health and its version's. */
  noteAnswer(server: BackendServer, kind: ResponseOutcome): void {
    const { health, evidence } = this.opts.node.opts
    health.note(server.id, kind !== 'bad')
    evidence.note(server.id, kind)
  }

  /** Notes a server that can't be reached or has fallen silent. */
  noteSilence(server: BackendServer): void {
    const { health, evidence } = this.opts.node.opts
    health.noteUnreachable(server.id)
    evidence.note(server.id, 'bad')
  }

  /** Whether a measurement of an answer is slow beside the version that is replaced. */
  isSlow(server: BackendServer, what: string, ms: number): boolean {
    const { evidence } = this.opts.node.opts
    return evidence.isSlow(
      `${this.opts.service.name} ${what}`,
      ms,
      this.#isOldVersion(server),
    )
  }

  /** Notes that a server may have run the request. */
  noteRan(server: BackendServer): void {
    this.#ranOn.add(server.id)
  }

  /** Keeps further sends of this request away from a server. */
  spend(server: BackendServer): void {
    this.#spent.add(server.id)
  }

  /** Takes a repeat from the service's budget. */
  takeRepeat(reason: string): boolean {
    const { node, service } = this.opts
    if (!node.budget(service.name).tryAcquire()) return false
    node.opts.metrics.retries.inc({ reason })
    return true
  }

  /**
   * Whether another send may follow one that brought nothing. After one that never left
   * this process it always may, a few times; the budget only takes note.
   */
  mayGoOn(reason: string): boolean {
    const neverLeft = reason === 'connect_failed' || reason === 'connect_timeout'
    if (!neverLeft) return this.takeRepeat(reason)
    this.#failedConnects += 1
    this.opts.node.opts.metrics.retries.inc({ reason })
    this.opts.node.budget(this.opts.service.name).note()
    return this.#failedConnects < MOST_FAILED_CONNECTS
  }

  /** Writes the request's line. */
  finish(outcome: RequestOutcome): void {
    const { node, caller, route, workspace, cfg } = this.opts
    const { log, metrics, clock } = node.opts
    const tookMs = Math.round(clock() - caller.arrivedAtMs)
    metrics.requests.inc({ outcome: outcome.outcome })
    if (outcome.reason) metrics.refusals.inc({ reason: outcome.reason })
    if (outcome.outcome === 'answered') metrics.responseSeconds.observe(tookMs / 1_000)
    log('request', {
      id: caller.facts.requestId,
      route: route.name,
      workspace: workspace?.name,
      config: cfg.version,
      ...outcome,
      tookMs,
      leftMs: Math.round(this.leftMs),
      attempts: this.lines,
    })
  }

  #isOldVersion({ version }: BackendServer): boolean {
    const rollout = this.opts.node.opts.rollouts.get(this.opts.service.name)
    return rollout?.state !== 'running' || rollout.target !== version
  }

  /** Place in the order in which requests move to a new version, from 0 to 1. */
  #rolloutPlace(): number {
    const target = this.opts.node.opts.rollouts.get(this.opts.service.name)?.target
    const { sessionKey } = this
    return target !== undefined && sessionKey !== undefined
      ? sessionPosition(target, sessionKey)
      : this.#randomPlace
  }

  #mayRetryOn(server: BackendServer): boolean {
    return (
      this.#ranOn.has(server.id) && !this.opts.node.opts.health.isUnreachable(server.id)
    )
  }

  /** Connections to one server that this instance may have. */
  #connectionShare(): number {
    const { node, service } = this.opts
    const equalShare = service.connectionLimit / node.opts.peers.peakAliveCount
    return Math.max(2, equalShare * CONNECTION_SHARE)
  }
}
