/**
 * Keeps the requests of all entry instances to a cold backend server within the bound.
 *
 * Load pattern: a server has just started, so it is the least loaded one and all instances choose
 * it at once; or many servers become cold together.
 *
 * One instance issues a permit for each request, as in `limits/`, with three differences: no
 * permits are saved up, a permit is good for a quarter of a second from the ask, and nothing is
 * returned. A request waits for a permit only if no warm server can take it.
 */
import type { Clock, Random } from '@wagtailway/core'
import { firstAnswering, orderIssuers } from '../limits/issuerOrder.js'
import type { PermitGrant } from '../limits/permitIssuer.js'
import type { Availability, RemoteAsk } from '../limits/serverLimiter.js'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import type { ColdServers } from './coldServers.js'
import { ISSUE_WINDOW_MS, MAX_BOUND, PERMIT_TTL_MS, divideBound } from './warmupBound.js'
import { WarmupIssuer, type WarmupRole } from './warmupIssuer.js'

/** Times for which an answer to an ask is awaited before it is sent again, in milliseconds. */
const ASK_TIMEOUTS_MS = [25, 25, 30] as const

/** Asks without an answer after which the deputy is asked, and for how long, in ms. */
const MAX_UNANSWERED_ASKS = 2
const SILENT_MS = 2_000

/** Instances in the order of a server that may issue its permits: one and its deputy. */
const MAX_ISSUERS = 2

/**
 * Time after the start of a process in which it issues nothing, in milliseconds: it knows neither
 * the other instances nor the permits of the process before.
 */
const ISSUE_AFTER_START_MS = 2_000

/**
 * Time for which an instance that is no longer heard keeps its place in the order of issuers, in
 * milliseconds. One that is cut off loses the others one after the other, and must not take
 * itself for the first before it knows how few it reaches.
 */
const PLACE_KEPT_MS = 2_000

/** Asks that this instance sends in a second at most; messages of all kinds may use 3 KB/s. */
const MAX_ASKS_PER_S = 16

/** Asks ahead of all instances, as a multiple of the permits issued for the cold servers. */
const ASKS_AHEAD_PER_PERMIT = 2

/** Maximum number of permits in one ask. */
const MAX_ASK_COUNT = 16

/** Ids of asks; below it are those of `ServerLimiter`, whose messages are the same. */
const FIRST_ASK_ID = 2 ** 40
const FIRST_ASK_ID_RANGE = 1e9

/** Begin of the server's name in the messages, which tells them from those of `ServerLimiter`. */
const KEY_PREFIX = 'cold '

/** Whether an ask is for a cold server and not for one that names a limit. */
export function isWarmupAsk({ incarnation }: Pick<RemoteAsk, 'incarnation'>): boolean {
  return incarnation.startsWith(KEY_PREFIX)
}

/** How an ask of this instance ended. */
export type AskResult = 'granted' | 'refused' | 'unanswered'

export interface WarmupLimiterOptions {
  readonly name: string
  readonly clock: Clock
  readonly random: Random
  /** Calls an action after a delay in milliseconds. */
  readonly after: (ms: number, action: () => void) => void
  /** Instances that may issue permits, this one included unless it is shutting down. */
  readonly issuers: () => readonly string[]
  /** Share of the fleet that this instance can reach, from 0 to 1. */
  readonly fleetShare: () => number
  readonly cold: ColdServers
  /** Requests in any second to a cold server of a service; absent if there is no bound. */
  readonly boundOf: (service: string) => number | undefined
  readonly onAsk: (result: AskResult) => void
}

/** A permit that was taken, or that the server needs none. */
export interface TakenPermit {
  /** Time at which the request must be sent at the latest, on the monotonic clock. */
  readonly expiresAtMs: number
}

const UNLIMITED: TakenPermit = { expiresAtMs: Number.POSITIVE_INFINITY }

interface Stock {
  /** Until when each permit can be used. */
  expiries: number[]
  waiters: ((permit: TakenPermit | undefined) => void)[]
  isAsking: boolean
  /** No ask has a chance before. */
  retryAtMs: number
}

interface PendingAsk {
  readonly incarnation: string
  readonly issuer: string
  readonly sentAtMs: number
}

/**
 * Permits for the cold servers that one process knows.
 *
 * @example
 * const permit = warmup.tryTake(server) ?? (await warmup.acquire(server))
 * if (permit && warmup.isValid(server, permit)) send(server)
 */
export class WarmupLimiter {
  /** Sends an ask to another instance. */
  sendAsk: (issuer: string, ask: RemoteAsk) => void = () => undefined
  readonly #issuer: WarmupIssuer
  readonly #startedAtMs: number
  readonly #stocks = new Map<string, Stock>()
  readonly #pending = new Map<number, PendingAsk>()
  /** Asks in a row without an answer, by issuer. */
  readonly #unanswered = new Map<string, number>()
  readonly #silentUntilMs = new Map<string, number>()
  /** Instances that may issue permits, or could until then. */
  readonly #placeUntilMs = new Map<string, number>()
  /** When asks were sent within the last second. */
  #askedAtMs: number[] = []
  #nextAskAheadAtMs = 0
  /** Random, so that the asks of a process that has started again are not taken for old ones. */
  #askId: number

  private constructor(private readonly opts: WarmupLimiterOptions) {
    this.#issuer = WarmupIssuer.create(opts.clock)
    this.#startedAtMs = opts.clock()
    this.#askId = FIRST_ASK_ID + Math.floor(opts.random() * FIRST_ASK_ID_RANGE)
  }

  static create(opts: WarmupLimiterOptions): WarmupLimiter {
    return new WarmupLimiter(opts)
  }

  /** Time for which requests to a server are limited, in milliseconds; zero if they are not. */
  coldForMs(server: BackendServer): number {
    const forMs = this.opts.cold.forMs(server)
    return forMs > 0 && this.opts.boundOf(server.service) !== undefined ? forMs : 0
  }

  /** Whether a request may be sent to a server now. */
  availability(server: BackendServer): Availability {
    if (this.coldForMs(server) === 0) return 'unlimited'
    const stock = this.#stocks.get(incarnationOf(server))
    const nowMs = this.opts.clock()
    if (stock?.expiries.some((atMs) => atMs > nowMs)) return 'permitted'
    if (stock?.isAsking) return 'askable'
    const mayAsk = (stock?.retryAtMs ?? 0) <= nowMs && this.#countAsks() < MAX_ASKS_PER_S
    return mayAsk ? 'askable' : 'exhausted'
  }

  /**
   * The servers that may get a request without a wait, or all if there is none: a request waits
   * for a permit only if no warm server can take it.
   */
  withoutWait(servers: readonly BackendServer[]): readonly BackendServer[] {
    if (!this.opts.cold.isAny) return servers
    const ready = servers.filter((server) => this.availability(server) !== 'askable')
    return ready.length > 0 ? ready : servers
  }

  /** Takes a permit that is at hand; `undefined` if there is none. */
  tryTake(server: BackendServer): TakenPermit | undefined {
    if (this.coldForMs(server) === 0) return UNLIMITED
    const stock = this.#stocks.get(incarnationOf(server))
    return stock && this.#shift(stock)
  }

  /** Takes a permit, and asks for one if none is at hand; `undefined` if there is none. */
  async acquire(server: BackendServer): Promise<TakenPermit | undefined> {
    const taken = this.tryTake(server)
    if (taken) return taken
    if (this.availability(server) !== 'askable') return undefined
    const stock = this.#stockOf(incarnationOf(server))
    const permit = new Promise<TakenPermit | undefined>((resolve) => {
      stock.waiters.push(resolve)
    })
    if (!stock.isAsking) this.#ask(server, stock)
    return permit
  }

  /** Whether a permit may still be used, also if the server became cold after it was taken. */
  isValid(server: BackendServer, { expiresAtMs }: TakenPermit): boolean {
    if (expiresAtMs === Number.POSITIVE_INFINITY) return this.coldForMs(server) === 0
    return this.opts.clock() <= expiresAtMs
  }

  /**
   * Asks for a permit for one of the cold servers while warm ones take the requests. All
   * instances together ask for little more than is issued.
   */
  askAhead(servers: readonly BackendServer[]): void {
    const cold = servers.filter((server) => this.availability(server) === 'askable')
    const [first] = cold
    const bound = first && this.opts.boundOf(first.service)
    if (bound === undefined) return
    const { clock, random, issuers } = this.opts
    const nowMs = clock()
    const perWindow = ASKS_AHEAD_PER_PERMIT * cold.length * divideBound(bound).responsible
    const pauseMs = (issuers().length / Math.max(1, perWindow)) * ISSUE_WINDOW_MS
    // The first requests after a server became cold come to all instances at the same time.
    const isFirst = nowMs - this.#nextAskAheadAtMs > pauseMs
    if (isFirst) this.#nextAskAheadAtMs = nowMs + pauseMs * random()
    if (nowMs < this.#nextAskAheadAtMs) return
    this.#nextAskAheadAtMs = nowMs + pauseMs * (0.5 + random())
    const server = cold[Math.floor(random() * cold.length)]
    const stock = server && this.#stockOf(incarnationOf(server))
    if (stock && !stock.isAsking) this.#ask(server, stock)
  }

  /** Answers the ask of another instance. */
  answer(asker: string, ask: RemoteAsk): PermitGrant {
    const { id, count, requestsPerS } = ask
    const incarnation = ask.incarnation.slice(KEY_PREFIX.length)
    const bound = Math.min(MAX_BOUND, requestsPerS)
    return this.#issue({ id, incarnation, count, bound, asker })
  }

  /** Applies the answer to an ask of this instance; ignores that to another one. */
  applyGrant(id: number, grant: PermitGrant): void {
    const ask = this.#pending.get(id)
    if (!ask) return
    this.#pending.delete(id)
    this.#unanswered.delete(ask.issuer)
    this.#silentUntilMs.delete(ask.issuer)
    this.#finish(ask, grant)
  }

  /**
   * Least delay after which a refused caller should return, in milliseconds. With the jitter of
   * up to the same length that each refusal adds, the returns are spread over the time until the
   * servers are warm, more of them late, when the servers take more.
   */
  returnDelayMs(coldForMs: number): number {
    return (coldForMs / 2) * Math.sqrt(this.opts.random())
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    const incarnation = incarnationOf(server)
    const stock = this.#stocks.get(incarnation)
    this.#stocks.delete(incarnation)
    if (stock) endWait(stock)
    this.opts.cold.forget(server)
  }

  #ask(server: BackendServer, stock: Stock): void {
    const { clock, name } = this.opts
    const bound = this.opts.boundOf(server.service) ?? 0
    const incarnation = incarnationOf(server)
    const issuer = this.#selectIssuer(incarnation)
    const pending = { incarnation, issuer, sentAtMs: clock() }
    const count = Math.min(MAX_ASK_COUNT, Math.max(1, stock.waiters.length))
    this.#askId += 1
    const id = this.#askId
    if (issuer === name) {
      const ask = { id, incarnation, bound, count, asker: name }
      this.#finish(pending, this.#issue(ask))
      return
    }
    this.#askedAtMs.push(pending.sentAtMs)
    stock.isAsking = true
    this.#pending.set(id, pending)
    const ask: RemoteAsk = {
      id,
      incarnation: KEY_PREFIX + incarnation,
      requestsPerS: bound,
      ageMs: 0,
      count,
      urgency: 0,
    }
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

  #giveUp(id: number): void {
    const ask = this.#pending.get(id)
    if (!ask) return
    this.#pending.delete(id)
    const unanswered = (this.#unanswered.get(ask.issuer) ?? 0) + 1
    this.#unanswered.set(ask.issuer, unanswered)
    if (unanswered >= MAX_UNANSWERED_ASKS)
      this.#silentUntilMs.set(ask.issuer, this.opts.clock() + SILENT_MS)
    this.opts.onAsk('unanswered')
    const stock = this.#stocks.get(ask.incarnation)
    if (!stock) return
    stock.isAsking = false
    endWait(stock)
  }

  #finish({ incarnation, sentAtMs }: PendingAsk, grant: PermitGrant): void {
    const { clock, random, onAsk } = this.opts
    onAsk(grant.count > 0 ? 'granted' : 'refused')
    const stock = this.#stocks.get(incarnation)
    if (!stock) return
    stock.isAsking = false
    // The issuer counted the permits later than this, whatever time the answer took.
    const expiresAtMs = sentAtMs + PERMIT_TTL_MS
    // The number comes from another process.
    const count = Math.min(grant.count, MAX_ASK_COUNT)
    for (let i = 0; i < count; i += 1) stock.expiries.push(expiresAtMs)
    while (stock.waiters.length > 0) {
      const permit = this.#shift(stock)
      if (!permit) break
      stock.waiters.shift()?.(permit)
    }
    if (grant.count === 0) {
      // Random, so that instances that were refused together don't ask again together.
      stock.retryAtMs = clock() + grant.retryAfterMs * (0.75 + 0.5 * random())
    }
    endWait(stock)
  }

  #issue(ask: {
    readonly id: number
    readonly incarnation: string
    readonly bound: number
    readonly count: number
    readonly asker: string
  }): PermitGrant {
    return this.#issuer.issue(ask, this.#role(ask.incarnation), this.opts.fleetShare())
  }

  #role(incarnation: string): WarmupRole {
    const { clock, name } = this.opts
    if (clock() - this.#startedAtMs < ISSUE_AFTER_START_MS) return 'none'
    const [responsible, deputy] = orderIssuers(this.#placeHolders(), incarnation)
    if (responsible === name) return 'responsible'
    return deputy === name ? 'deputy' : 'none'
  }

  /** Instances that may issue permits, and those that were lost a short while ago. */
  #placeHolders(): string[] {
    const nowMs = this.opts.clock()
    const names = new Set(this.opts.issuers())
    for (const [name, untilMs] of this.#placeUntilMs) {
      if (names.has(name)) continue
      if (untilMs === Number.POSITIVE_INFINITY)
        this.#placeUntilMs.set(name, nowMs + PLACE_KEPT_MS)
      else if (untilMs <= nowMs) this.#placeUntilMs.delete(name)
    }
    for (const name of names) this.#placeUntilMs.set(name, Number.POSITIVE_INFINITY)
    return [...this.#placeUntilMs.keys()]
  }

  #selectIssuer(incarnation: string): string {
    const { clock, name } = this.opts
    const order = this.#order(incarnation).slice(0, MAX_ISSUERS)
    return firstAnswering(order, this.#silentUntilMs, clock()) ?? name
  }

  #order(incarnation: string): string[] {
    return orderIssuers(this.opts.issuers(), incarnation)
  }

  /** Number of asks within the last second. */
  #countAsks(): number {
    const sinceMs = this.opts.clock() - 1_000
    if ((this.#askedAtMs[0] ?? sinceMs) <= sinceMs)
      this.#askedAtMs = this.#askedAtMs.filter((atMs) => atMs > sinceMs)
    return this.#askedAtMs.length
  }

  #shift(stock: Stock): TakenPermit | undefined {
    const nowMs = this.opts.clock()
    stock.expiries = stock.expiries.filter((atMs) => atMs > nowMs)
    const expiresAtMs = stock.expiries.shift()
    return expiresAtMs === undefined ? undefined : { expiresAtMs }
  }

  #stockOf(incarnation: string): Stock {
    const known = this.#stocks.get(incarnation)
    if (known) return known
    const stock: Stock = { expiries: [], waiters: [], isAsking: false, retryAtMs: 0 }
    this.#stocks.set(incarnation, stock)
    return stock
  }
}

/** Ends the wait of all requests, as there is no permit for them. */
function endWait(stock: Stock): void {
  const { waiters } = stock
  stock.waiters = []
  for (const resolve of waiters) resolve(undefined)
}
