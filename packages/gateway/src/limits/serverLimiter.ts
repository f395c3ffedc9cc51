/**
 * Keeps the requests of all entry instances together within the rate limits that backend
 * servers name.
 *
 * For each limited server, one instance issues a permit for each request; rendezvous hashing
 * tells every instance which one, without coordination. An instance that gets no answer asks
 * the next one in that order, which issues a part of the limit.
 */
import type { Clock, Random } from '@wagtailway/core'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import { MISDIRECTED_REQUEST, type NamedRateLimit } from '../model/requestMetadata.js'
import { firstAnswering, orderIssuers } from './issuerOrder.js'
import { PermitIssuer, type PermitGrant } from './permitIssuer.js'
import { PermitStock } from './permitStock.js'
import {
  ServerLimits,
  type LimitChange,
  type ReportedLimit,
  type ServerLimit,
} from './serverLimits.js'

/** Times for which an answer to an ask is awaited before it is sent again, in milliseconds. */
const ASK_TIMEOUTS_MS = [25, 25, 30] as const

/** Exclusive upper bound of the id of the first ask of a process. */
const FIRST_ASK_ID_RANGE = 1e9

/** Asks without an answer after which the next instance is asked, and for how long, in ms. */
const MAX_UNANSWERED_ASKS = 2
const SILENT_MS = 2_000

/** Longest delay before the return of a refused caller, in milliseconds. */
const MAX_RETURN_DELAY_MS = 10_000

/** An ask for permits, as it is sent to another entry instance. */
export interface RemoteAsk {
  readonly id: number
  readonly incarnation: string
  readonly requestsPerS: number
  /** Time since a response named the limit, in milliseconds. */
  readonly ageMs: number
  readonly count: number
  readonly urgency: number
}

/** Whether and how a request may be sent to a server. */
export type Availability =
  /** The server names no limit. */
  | 'unlimited'
  /** A permit is at hand. */
  | 'permitted'
  /** A permit may be had from the instance that issues them. */
  | 'askable'
  /** No permit is to be had for now. */
  | 'exhausted'

/** Why a limited server gets no request now, as it is logged. */
export interface ExhaustedLimit {
  readonly server: string
  readonly requestsPerS: number
  /** Time since a response named the limit, in milliseconds. */
  readonly ageMs: number
  /** Entry instance that observed it; `undefined` for this process. */
  readonly source: string | undefined
  /** Instance that refused the last permit, if one did. */
  readonly issuer: string | undefined
  readonly retryAfterMs: number
}

export interface ServerLimiterOptions {
  readonly name: string
  readonly clock: Clock
  readonly random: Random
  /** Calls an action after a delay in milliseconds. */
  readonly after: (ms: number, action: () => void) => void
  /** Instances that may issue permits, this one included unless it is shutting down. */
  readonly issuers: () => readonly string[]
  /** Share of the fleet that this instance can reach, from 0 to 1. */
  readonly fleetShare: () => number
  readonly onChange: (change: LimitChange) => void
  readonly onInvalid: (incarnation: string) => void
}

interface PendingAsk {
  readonly incarnation: string
  readonly issuer: string
  readonly urgency: number
}

/**
 * The limits known to one process, and its permits.
 *
 * @example
 * limiter.observe(server, 200, 1.5)
 * if (limiter.availability(server, 5) === 'askable') await limiter.acquire(server, 5)
 */
export class ServerLimiter {
  /** Called when the other instances should learn at once what this one observed. */
  onNews: () => void = () => undefined
  /** Sends an ask to another instance. */
  sendAsk: (issuer: string, ask: RemoteAsk) => void = () => undefined
  readonly #limits: ServerLimits
  readonly #issuer: PermitIssuer
  readonly #stocks = new Map<string, PermitStock>()
  readonly #refusedBy = new Map<string, string>()
  readonly #pending = new Map<number, PendingAsk>()
  /** Asks in a row without an answer, by issuer. */
  readonly #unanswered = new Map<string, number>()
  readonly #silentUntilMs = new Map<string, number>()
  /** Random, so that the asks of a process that has started again are not taken for old ones. */
  #askId: number
  /** Latest time at which a refused caller was told to return, by service. */
  readonly #lastReturnMs = new Map<string, number>()

  private constructor(private readonly opts: ServerLimiterOptions) {
    const { clock, random, onChange, onInvalid } = opts
    this.#askId = Math.floor(random() * FIRST_ASK_ID_RANGE)
    this.#issuer = PermitIssuer.create(clock)
    this.#limits = ServerLimits.create({
      clock,
      onInvalid,
      onChange: (change) => {
        onChange(change)
        if (change.source === undefined) this.onNews()
      },
    })
  }

  static create(opts: ServerLimiterOptions): ServerLimiter {
    return new ServerLimiter(opts)
  }

  /** Number of servers that name a limit. */
  get limitedCount(): number {
    return this.#limits.count
  }

  /** Limits that this process observed itself, for its reports to peers. */
  get reported(): ReportedLimit[] {
    return this.#limits.reported
  }

  /** Records what the head of a response named. */
  observe(server: BackendServer, status: number, rateLimit: NamedRateLimit): void {
    // Another server has this address now.
    if (status === MISDIRECTED_REQUEST) return
    this.#limits.observe(server, rateLimit)
  }

  applyReport(peer: string, limits: readonly ReportedLimit[]): void {
    this.#limits.applyReport(peer, limits)
  }

  /** The limit that a server names; `undefined` if it names none. */
  find(server: BackendServer): ServerLimit | undefined {
    return this.#limits.find(server)
  }

  /** Whether a request of this urgency may be sent to a server. */
  availability(server: BackendServer, urgency: number): Availability {
    if (!this.#limits.find(server)) return 'unlimited'
    const stock = this.#stocks.get(incarnationOf(server))
    if (stock?.hasPermit) return 'permitted'
    return (stock?.retryAfterMs(urgency) ?? 0) > 0 ? 'exhausted' : 'askable'
  }

  /** Takes a permit that is at hand. */
  tryTake(server: BackendServer): boolean {
    return this.#stockOf(incarnationOf(server)).tryTake()
  }

  /** Takes a permit, and asks for one if none is at hand; false if there is none. */
  async acquire(server: BackendServer, urgency: number): Promise<boolean> {
    const incarnation = incarnationOf(server)
    const limit = this.#limits.find(server)
    if (!limit) return true
    const stock = this.#stockOf(incarnation)
    if (stock.tryTake()) return true
    const granted = stock.wait(urgency)
    if (!stock.isAsking) this.#ask(incarnation, stock, limit.requestsPerS, limit.ageMs)
    return granted
  }

  /** Returns a permit that was taken and not used. */
  putBack(server: BackendServer): void {
    if (this.#limits.find(server)) this.#stockOf(incarnationOf(server)).putBack()
  }

  /** Answers the ask of another instance. */
  answer(asker: string, ask: RemoteAsk): PermitGrant {
    const { incarnation, requestsPerS, ageMs } = ask
    this.#limits.applyReport(asker, [{ incarnation, requestsPerS, ageMs }])
    return this.#issue(asker, ask)
  }

  /** Applies the answer to an ask of this instance. */
  applyGrant(id: number, { count, retryAfterMs }: PermitGrant): void {
    const ask = this.#pending.get(id)
    if (!ask) return
    this.#pending.delete(id)
    this.#unanswered.delete(ask.issuer)
    this.#silentUntilMs.delete(ask.issuer)
    this.#finish(ask, { count, retryAfterMs })
  }

  /** Why a server gets no request of this urgency; `undefined` if it names no limit. */
  describe(server: BackendServer, urgency: number): ExhaustedLimit | undefined {
    const limit = this.#limits.find(server)
    if (!limit) return undefined
    const incarnation = incarnationOf(server)
    const stock = this.#stocks.get(incarnation)
    return {
      server: server.id,
      requestsPerS: limit.requestsPerS,
      ageMs: Math.round(limit.ageMs),
      source: limit.source,
      issuer: this.#refusedBy.get(incarnation),
      retryAfterMs: Math.round(stock?.retryAfterMs(urgency) ?? 0),
    }
  }

  /**
   * Delay after which a refused caller should return, in milliseconds. Callers of a service
   * get successive times, so that all instances together call back as many as its servers
   * take.
   */
  returnDelayMs(service: string, limits: readonly ExhaustedLimit[]): number {
    const nowMs = this.opts.clock()
    const requestsPerS = limits.reduce((sum, limit) => sum + limit.requestsPerS, 0)
    const instanceCount = Math.max(1, this.opts.issuers().length)
    const spacingMs = (instanceCount / requestsPerS) * 1_000
    const previousMs = Math.max(this.#lastReturnMs.get(service) ?? nowMs, nowMs)
    const returnMs = Math.min(previousMs + spacingMs, nowMs + MAX_RETURN_DELAY_MS)
    this.#lastReturnMs.set(service, returnMs)
    return returnMs - nowMs
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    const incarnation = incarnationOf(server)
    this.#limits.forget(server)
    this.#stocks.get(incarnation)?.endWait()
    this.#stocks.delete(incarnation)
    this.#refusedBy.delete(incarnation)
  }

  /** Drops outdated state; call it regularly. */
  refresh(): void {
    this.#issuer.removeOld()
  }

  #ask(
    incarnation: string,
    stock: PermitStock,
    requestsPerS: number,
    ageMs: number,
  ): void {
    const issuer = this.#selectIssuer(incarnation)
    const { urgency } = stock
    this.#askId += 1
    const id = this.#askId
    const ask = { id, incarnation, requestsPerS, ageMs, urgency, count: stock.askCount() }
    const pending = { incarnation, issuer, urgency }
    if (issuer === this.opts.name) {
      this.#finish(pending, this.#issue(issuer, ask))
      return
    }
    stock.isAsking = true
    this.#pending.set(id, pending)
    this.#send(issuer, ask, 0)
  }

  /** Sends an ask, again if no answer comes in time, and gives up in the end. */
  #send(issuer: string, ask: RemoteAsk, timeoutIndex: number): void {
    const timeoutMs = ASK_TIMEOUTS_MS[timeoutIndex]
    if (!this.#pending.has(ask.id)) return
    if (timeoutMs === undefined) {
      this.#giveUp(ask.id)
      return
    }
    this.sendAsk(issuer, ask)
    this.opts.after(timeoutMs, () => {
      this.#send(issuer, ask, timeoutIndex + 1)
    })
  }

  /** Gives up waiting for an answer; one that arrives later is still applied. */
  #giveUp(id: number): void {
    const ask = this.#pending.get(id)
    if (!ask) return
    const unanswered = (this.#unanswered.get(ask.issuer) ?? 0) + 1
    this.#unanswered.set(ask.issuer, unanswered)
    if (unanswered >= MAX_UNANSWERED_ASKS) {
      this.#silentUntilMs.set(ask.issuer, this.opts.clock() + SILENT_MS)
    }
    const stock = this.#stockOf(ask.incarnation)
    stock.isAsking = false
    stock.endWait()
    this.opts.after(SILENT_MS, () => this.#pending.delete(id))
  }

  #finish({ incarnation, issuer, urgency }: PendingAsk, grant: PermitGrant): void {
    const stock = this.#stocks.get(incarnation)
    if (!stock) return
    stock.isAsking = false
    stock.add(grant.count)
    if (grant.count === 0) {
      // Random, so that instances that were refused together don't ask again together.
      const delayMs = grant.retryAfterMs * (0.75 + 0.5 * this.opts.random())
      stock.delayAsks(urgency, delayMs)
      this.#refusedBy.set(incarnation, issuer)
    }
    stock.endWait()
  }

  #issue(asker: string, ask: RemoteAsk): PermitGrant {
    const { id, incarnation, requestsPerS, count, urgency } = ask
    const isDeputy = this.#order(incarnation)[0] !== this.opts.name
    return this.#issuer.issue(
      { id, incarnation, requestsPerS, count, urgency, asker },
      { isDeputy, fleetShare: this.opts.fleetShare() },
    )
  }

  /** The first instance in the order of a server that responds. */
  #selectIssuer(incarnation: string): string {
    const { clock, name } = this.opts
    const order = this.#order(incarnation)
    return firstAnswering(order, this.#silentUntilMs, clock()) ?? name
  }

  /** All instances that may issue the permits of a server, the one responsible first. */
  #order(incarnation: string): string[] {
    return orderIssuers(this.opts.issuers(), incarnation)
  }

  #stockOf(incarnation: string): PermitStock {
    const known = this.#stocks.get(incarnation)
    if (known) return known
    const stock = PermitStock.create(this.opts.clock)
    this.#stocks.set(incarnation, stock)
    return stock
  }
}
