/** Selects the servers for one request's attempts. */
import { nextPoll, startTimer, withTimeout } from '@wagtailway/core'
import type { ExhaustedLimit } from '../limits/serverLimiter.js'
import type { BackendServer } from '../model/backendServer.js'
import type { PromptPart } from '../model/requestMetadata.js'
import { selectPlacement, type Placement } from '../placement/selectPlacement.js'
import { sessionPosition } from '../rollout/rolloutTable.js'
import type { TakenPermit } from '../warmup/warmupLimiter.js'
import type { RequestContextOptions } from './requestOptions.js'
import {
  LOWEST_URGENCY,
  WORKSPACE_URGENCY_STEP,
  engineUrgency,
} from '../model/urgency.js'

/**
 * Share of a server's connection limit, divided equally among the entry instances, that
 * each instance may use.
 */
const CONNECTION_SHARE = 0.9

/** Rate-limited servers whose permits are asked for in vain for one attempt at most. */
const MAX_ASKS = 3

/** Time for which one attempt asks for permits and places, in milliseconds. */
const MAX_ASKING_MS = 120

/** Longest wait for one answer, in milliseconds: beyond the time after which asks are given up. */
const MAX_ANSWER_MS = 500

/** Why no server was selected although there are some: all are cold. */
export interface ColdRefusal {
  readonly serverCount: number
  /** Time until the last of them is warm, in milliseconds. */
  readonly forMs: number
}

/**
 * Remembers which servers failed a request, and selects others for it.
 *
 * @example
 * const placement = await ctx.placement.acquire('large')
 * if (placement) ctx.placement.exclude(placement.server)
 */
export class RequestPlacement {
  /** Servers excluded because they failed or refused the request. */
  readonly #excluded = new Set<string>()
  readonly #randomPosition: number
  /** Levels by which engines are told that the request is less urgent. */
  demotion = 0
  #exhaustedLimits: readonly ExhaustedLimit[] = []
  #heldForMs: number | undefined
  #isFull = false
  #cold: ColdRefusal | undefined

  private constructor(
    private readonly opts: RequestContextOptions,
    private readonly mayHaveRunOn: (server: BackendServer) => boolean,
  ) {
    this.#randomPosition = opts.node.opts.random()
  }

  /** @param mayHaveRunOn Whether a server may have run the request. */
  static create(
    opts: RequestContextOptions,
    mayHaveRunOn: (server: BackendServer) => boolean,
  ): RequestPlacement {
    return new RequestPlacement(opts, mayHaveRunOn)
  }

  /** Excludes a server from further attempts of this request. */
  exclude(server: BackendServer): void {
    this.#excluded.add(server.id)
  }

  /**
   * Rate-limited servers for lack of whose permits the last call of `acquire` selected none;
   * empty if it selected one or there were no servers at all.
   */
  get exhaustedLimits(): readonly ExhaustedLimit[] {
    return this.#exhaustedLimits
  }

  /**
   * Time until the first of the servers takes requests again, in milliseconds, if the last
   * call of `acquire` selected none because they all want none for now.
   */
  get heldForMs(): number | undefined {
    return this.#heldForMs
  }

  /** Whether the last call of `acquire` selected none for want of places at brittle servers. */
  get isFull(): boolean {
    return this.#isFull
  }

  /** Set if the last call of `acquire` selected none as all servers are cold. */
  get cold(): ColdRefusal | undefined {
    return this.#cold
  }

  /**
   * Selects the server for the next attempt, and takes permits if it names a rate limit or is
   * cold, and a place if it is brittle; `undefined` if none can accept the attempt.
   */
  async acquire(model: string | undefined): Promise<Placement | undefined> {
    const { limiter, places, clock, warmup } = this.opts.node.opts
    const askUntilMs = clock() + MAX_ASKING_MS
    const refused = new Set<string>()
    this.#exhaustedLimits = []
    this.#heldForMs = undefined
    this.#isFull = false
    this.#cold = undefined
    for (;;) {
      const placement = this.#selectAmong(
        model,
        (server) => !refused.has(server.id) && this.#isAvailable(server, refused.size),
      )
      if (!placement) break
      const { server } = placement
      const permit = warmup.tryTake(server)
      if (permit && this.#takeAtOnce(server)) return placement
      if (clock() >= askUntilMs) break
      if (await this.#askFor(server, permit)) return placement
      refused.add(server.id)
    }
    this.#heldForMs = this.#timeUntilWillingMs()
    this.#cold = this.#describeCold()
    this.#isFull = this.#eligibleServers().some(
      (server) => refused.has(server.id) || !places.isAskable(server),
    )
    this.#exhaustedLimits = this.#eligibleServers().flatMap(
      (server) => limiter.describe(server, this.#urgency) ?? [],
    )
    return undefined
  }

  /** Takes a place at a server that names no limit; false if it must be asked for. */
  #takeAtOnce(server: BackendServer): boolean {
    const { limiter, places, warmup, cold } = this.opts.node.opts
    if (limiter.availability(server, this.#urgency) !== 'unlimited') return false
    if (!places.tryAcquire(server)) return false
    if (cold.isAny) warmup.askAhead(this.#eligibleServers())
    return true
  }

  /** Asks for the permits and the place that a server needs; false if one is missing. */
  async #askFor(
    server: BackendServer,
    takenPermit: TakenPermit | undefined,
  ): Promise<boolean> {
    const { limiter, places, warmup } = this.opts.node.opts
    const permit = takenPermit ?? (await withinAskTime(warmup.acquire(server), undefined))
    if (!permit) return false
    if (!(await withinAskTime(limiter.acquire(server, this.#urgency), false)))
      return false
    const hasPlace = await withinAskTime(places.acquire(server), false)
    // The caller may have left while the server was asked for.
    await nextPoll()
    // The server may have left, or become cold, too.
    const isEligible = this.#eligibleServers().some(({ id }) => id === server.id)
    if (hasPlace && isEligible && warmup.isValid(server, permit)) return true
    if (hasPlace) places.release(server)
    limiter.putBack(server)
    return false
  }

  /**
   * Returns the permit and the place of a placement that is not used. That of a cold server
   * expires unused.
   */
  release({ server }: Placement): void {
    this.opts.node.opts.limiter.putBack(server)
    this.opts.node.opts.places.release(server)
  }

  /**
   * The placement that `acquire` would try first.
   *
   * @param except Server that is not selected, such as the one that runs the request.
   */
  preview(model: string | undefined, except?: BackendServer): Placement | undefined {
    return this.#selectAmong(
      model,
      (server) => server.id !== except?.id && this.#isAvailable(server, 0),
    )
  }

  /** Whether a server may get the request, and a permit for it may be asked for. */
  #isAvailable(server: BackendServer, askCount: number): boolean {
    const { limiter, places, warmup } = this.opts.node.opts
    const warmth = warmup.availability(server)
    if (warmth === 'exhausted' || (warmth === 'askable' && askCount >= MAX_ASKS))
      return false
    const availability = limiter.availability(server, this.#urgency)
    if (!places.isAskable(server) || (askCount >= MAX_ASKS && places.isAsked(server)))
      return false
    return availability === 'askable' ? askCount < MAX_ASKS : availability !== 'exhausted'
  }

  /** Urgency of asks for permits, from 0, the most urgent, to 9. */
  get #urgency(): number {
    const { route, workspace } = this.opts
    const level = (workspace?.priority ?? 0) * WORKSPACE_URGENCY_STEP + route.priority
    return Math.min(LOWEST_URGENCY, level)
  }

  #selectAmong(
    model: string | undefined,
    isAvailable: (server: BackendServer) => boolean,
  ): Placement | undefined {
    const { node, caller, workspace, route } = this.opts
    const { health, paths, prefillSpeeds, load, random, zone, cachedPrefixes } = node.opts
    const { warmup, cold } = node.opts
    const isCold = (candidate: BackendServer): boolean => warmup.coldForMs(candidate) > 0
    const parts = sharedParts(this.opts)
    const sharedTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
    const key = affinityKey(parts, model)
    const eligible = this.#eligibleServers()
    const usable = health
      .usable(eligible, (server) => paths.isLost(server))
      .filter(isAvailable)
    // If all healthy servers are at their limits, the others are better than none.
    const available = usable.length > 0 ? usable : eligible.filter(isAvailable)
    return selectPlacement(
      warmup.withoutWait(available),
      {
        affinityKey: key,
        hasCachedPrefix: (id) => key !== undefined && cachedPrefixes.has(id, key),
        ...(cold.isAny && { isCold }),
        sharedTokens,
        uniqueTokens: Math.max(0, caller.metadata.promptTokens - sharedTokens),
        prefillMsPerToken: (precedingTokens) =>
          prefillSpeeds.msPerToken(model ?? '', precedingTokens),
        urgencyOf: (prefillMs) =>
          engineUrgency(
            { workspace: workspace?.priority ?? 0, route: route.priority },
            prefillMs,
            this.demotion,
          ),
        hasOldLoads: load.hasFleetLoads,
        zone,
      },
      (id) => load.total(id),
      random,
    )
  }

  /** Servers of the preferred version that may get the request and a connection more. */
  #eligibleServers(): BackendServer[] {
    const { connections, statements } = this.opts.node.opts
    const maxConnections = this.#maxConnections()
    return this.#stayingServers().filter(
      (server) =>
        statements.heldForMs(server) === 0 &&
        connections.count(server.id) < maxConnections,
    )
  }

  /** The same, with those that want no requests for now or have no connection left. */
  #stayingServers(): BackendServer[] {
    const { node, service, caller } = this.opts
    const { rollouts, servers, statements, evacuations } = node.opts
    const versionFilters = rollouts.versionFilters(
      service.name,
      this.#rolloutPosition(),
      caller.metadata.sessionKey,
    )
    const candidates = versionFilters
      .map((allows) =>
        servers
          .ready(service.name)
          .filter((server) => allows(server.version) && evacuations.isOpen(server)),
      )
      .find((found) => found.length > 0)
    const untried = candidates?.filter(({ id }) => !this.#excluded.has(id)) ?? []
    // If every server is excluded, one that may have run the request may succeed on a retry.
    const eligible =
      untried.length > 0 ? untried : (candidates ?? []).filter((s) => this.#mayRetryOn(s))
    return eligible.filter((server) => statements.leavingForMs(server) === undefined)
  }

  /** The cold servers for lack of whose permits none was selected, if all are cold. */
  #describeCold(): ColdRefusal | undefined {
    const { warmup } = this.opts.node.opts
    const times = this.#eligibleServers().map((server) => warmup.coldForMs(server))
    if (times.length === 0 || times.some((forMs) => forMs === 0)) return undefined
    return { serverCount: times.length, forMs: Math.max(...times) }
  }

  /**
   * Time until the first server takes requests again, in milliseconds; `undefined` unless all
   * want none for now.
   */
  #timeUntilWillingMs(): number | undefined {
    const { statements } = this.opts.node.opts
    const times = this.#stayingServers().map((server) => statements.heldForMs(server))
    const earliestMs = Math.min(...times)
    return times.length > 0 && earliestMs > 0 ? earliestMs : undefined
  }

  /**
   * Position in the order in which requests move to a new version, from 0 to 1: the same
   * for all requests of a session, otherwise random.
   */
  #rolloutPosition(): number {
    const { node, service, caller } = this.opts
    const target = node.opts.rollouts.get(service.name)?.target
    const { sessionKey } = caller.metadata
    return target !== undefined && sessionKey !== undefined
      ? sessionPosition(target, sessionKey)
      : this.#randomPosition
  }

  #mayRetryOn(server: BackendServer): boolean {
    return (
      this.mayHaveRunOn(server) && !this.opts.node.opts.health.isUnreachable(server.id)
    )
  }

  /** Maximum connections of this instance to one server. */
  #maxConnections(): number {
    const { node, service } = this.opts
    const equalShare = service.connectionLimit / node.opts.peers.peakAliveCount
    return Math.max(2, equalShare * CONNECTION_SHARE)
  }
}

/** The answer to an ask, or `missing` if none comes though asks are given up after a while. */
function withinAskTime<T>(answer: Promise<T>, missing: T): Promise<T> {
  return withTimeout(startTimer, MAX_ANSWER_MS, answer, missing)
}

/** Parts of the prompt that other requests may share, in the order of the prompt. */
export function sharedParts({ caller }: RequestContextOptions): readonly PromptPart[] {
  return caller.metadata.promptParts.slice(0, -1)
}

/**
 * Key of the shared prompt prefix for one model; `undefined` without a shared prefix.
 *
 * @example
 * affinityKey([{ id: 'intro', tokens: 350 }], 'large') // 'large intro'
 */
export function affinityKey(
  parts: readonly PromptPart[],
  model: string | undefined,
): string | undefined {
  const last = parts.at(-1)
  return last && `${model ?? ''} ${last.id}`
}
