/**
 * Keeps the requests of all entry instances together within the slots of brittle servers.
 *
 * For each brittle server one instance issues its places; rendezvous hashing tells every
 * instance which one. An instance that gets no answer asks the next one in that order.
 */
import type { Clock, Random } from '@wagtailway/core'
import { firstAnswering, orderIssuers } from '../limits/issuerOrder.js'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import { MAX_WAIT_MS, PlaceIssuer, type PlaceUse } from './placeIssuer.js'

/** Time for which an answer is awaited before an ask is sent again, in milliseconds. */
const ASK_TIMEOUT_MS = MAX_WAIT_MS + 20

/** Times that one ask is sent; the last time to the next instance if nobody answers. */
const MAX_SENDS = 3

/** Answers in a row that an instance owes before it is passed over, and for how long, in ms. */
const MAX_UNANSWERED = 5
const SILENT_MS = 2_000

/** Interval at which what is in progress is told again, in milliseconds. */
export const REFRESH_MS = 250

/** Time after the last change for which it is told again, in milliseconds. */
const REPEATED_MS = 1_000

/** Time after a refusal in which a server is not asked for again, in milliseconds. */
const REFUSED_MS = 30

/** Bounds of the delay after which a refused caller should return, in milliseconds. */
const MIN_RETURN_MS = 250
const MAX_RETURN_MS = 1_500

/** Exclusive upper bound of the id of the first ask of a process. */
const FIRST_ASK_ID_RANGE = 1e9

/** A message to the instance that issues the places of a server. */
export interface PlaceMessage extends PlaceUse {
  /** Id of an ask for a place; `undefined` if it only tells what is in use. */
  readonly askId: number | undefined
  /** Whether the receiver stands in for the instance responsible. */
  readonly isDeputy: boolean
}

export interface PlaceLimiterOptions {
  readonly name: string
  readonly clock: Clock
  readonly random: Random
  /** Above the numbers of all messages of an earlier process of this instance. */
  readonly firstSequence: number
  /** Calls an action after a delay in milliseconds. */
  readonly after: (ms: number, action: () => void) => void
  /** Instances that may issue places, this one included unless it is shutting down. */
  readonly issuers: () => readonly string[]
  readonly isBrittle: (server: BackendServer) => boolean
}

interface Use {
  readonly server: BackendServer
  running: number
  /** Ids of the asks that are not answered yet, the earliest first. */
  readonly pendingAskIds: Set<number>
  refusals: number
  refusedAtMs: number
  /** When a request last ended. */
  changedAtMs: number
  toldAtMs: number
}

/**
 * Requests in progress of this instance, and its asks for places.
 *
 * @example
 * if (await places.acquire(server)) send().finally(() => places.release(server))
 */
export class PlaceLimiter {
  /** Sends a message to another instance. */
  send: (issuer: string, message: PlaceMessage) => void = () => undefined
  readonly #issuer: PlaceIssuer
  readonly #uses = new Map<string, Use>()
  /** Resolves the asks that wait for an answer, by id. */
  readonly #pending = new Map<number, (granted: boolean | undefined) => void>()
  /** Answers in a row that each instance owes. */
  readonly #unanswered = new Map<string, number>()
  readonly #silentUntilMs = new Map<string, number>()
  /** Random, so that answers to an earlier process are not taken for those to this one. */
  #askId: number
  #sequence: number

  private constructor(private readonly opts: PlaceLimiterOptions) {
    this.#askId = Math.floor(opts.random() * FIRST_ASK_ID_RANGE)
    this.#sequence = opts.firstSequence
    this.#issuer = PlaceIssuer.create(opts)
  }

  static create(opts: PlaceLimiterOptions): PlaceLimiter {
    return new PlaceLimiter(opts)
  }

  /** Whether a place may be had at a server. */
  isAskable(server: BackendServer): boolean {
    if (!this.opts.isBrittle(server)) return true
    const { refusedAtMs = Number.NEGATIVE_INFINITY } =
      this.#uses.get(incarnationOf(server)) ?? {}
    return this.opts.clock() - refusedAtMs >= REFUSED_MS
  }

  /** Whether another instance has to be asked for places at a server. */
  isAsked(server: BackendServer): boolean {
    return this.opts.isBrittle(server)
  }

  /** Takes a place for one request if nobody has to be asked for it. */
  tryAcquire(server: BackendServer): boolean {
    if (this.opts.isBrittle(server)) return false
    this.#useOf(server).running += 1
    return true
  }

  /** Takes a place for one request; false if a brittle server has none. */
  async acquire(server: BackendServer): Promise<boolean> {
    if (this.tryAcquire(server)) return true
    const use = this.#useOf(server)
    if (await this.#ask(use)) {
      use.running += 1
      return true
    }
    use.refusedAtMs = this.opts.clock()
    return false
  }

  /** Returns the place of a request that has ended or was not sent. */
  release(server: BackendServer): void {
    const use = this.#uses.get(incarnationOf(server))
    if (!use || use.running === 0) return
    use.running -= 1
    use.changedAtMs = this.opts.clock()
    if (this.opts.isBrittle(server)) this.#tell(use)
  }

  /** Records that a server refused a request for want of room. */
  recordRefusal(server: BackendServer): void {
    const use = this.#useOf(server)
    use.refusals += 1
    if (this.opts.isBrittle(server)) this.#tell(use)
  }

  /**
   * Handles a message of another instance.
   *
   * @param answer Called with the answer to an ask, at once or a little later.
   */
  receive(
    sender: string,
    { askId, isDeputy, ...use }: PlaceMessage,
    answer: (granted: boolean) => void,
  ): void {
    if (askId === undefined) this.#issuer.record(sender, use)
    else this.#issuer.ask(sender, use, { askId, isDeputy, answer })
  }

  /** Applies the answer to an ask of this instance. */
  applyAnswer(askId: number, granted: boolean): void {
    this.#pending.get(askId)?.(granted)
  }

  /** Delay after which a refused caller should return, in milliseconds; spread at random. */
  returnDelayMs(): number {
    return MIN_RETURN_MS + this.opts.random() * (MAX_RETURN_MS - MIN_RETURN_MS)
  }

  /** Tells again what is in progress, and drops outdated state; call it regularly. */
  refresh(): void {
    this.#issuer.removeOld()
    const nowMs = this.opts.clock()
    for (const use of this.#uses.values()) {
      const isCurrent = use.running > 0 || nowMs - use.changedAtMs < REPEATED_MS
      const isDue = nowMs - use.toldAtMs >= REFRESH_MS
      if (isCurrent && isDue && this.opts.isBrittle(use.server)) this.#tell(use)
    }
  }

  /** Forgets a server that is no longer listed. */
  forget(server: BackendServer): void {
    this.#uses.delete(incarnationOf(server))
  }

  async #ask(use: Use): Promise<boolean> {
    this.#askId += 1
    const askId = this.#askId
    use.pendingAskIds.add(askId)
    try {
      for (let sends = 0; sends < MAX_SENDS; sends += 1) {
        const { issuer, isDeputy } = this.#selectIssuer(use)
        const granted = await this.#askIssuer(issuer, use, { askId, isDeputy })
        if (granted !== undefined) {
          this.#unanswered.delete(issuer)
          return granted
        }
        const unanswered = (this.#unanswered.get(issuer) ?? 0) + 1
        this.#unanswered.set(issuer, unanswered)
        if (unanswered >= MAX_UNANSWERED)
          this.#silentUntilMs.set(issuer, this.opts.clock() + SILENT_MS)
      }
      return false
    } finally {
      use.pendingAskIds.delete(askId)
    }
  }

  /** Asks an instance; resolves with `undefined` if no answer comes in time. */
  #askIssuer(
    issuer: string,
    use: Use,
    ask: { readonly askId: number; readonly isDeputy: boolean },
  ): Promise<boolean | undefined> {
    const { askId } = ask
    const message = this.#message(use)
    return new Promise((resolve) => {
      const finish = (granted: boolean | undefined): void => {
        if (this.#pending.get(askId) !== finish) return
        this.#pending.delete(askId)
        resolve(granted)
      }
      this.#pending.set(askId, finish)
      if (issuer === this.opts.name) {
        this.#issuer.ask(issuer, message, { ...ask, answer: finish })
        return
      }
      this.send(issuer, { ...message, ...ask })
      this.opts.after(ASK_TIMEOUT_MS, () => {
        finish(undefined)
      })
    })
  }

  #tell(use: Use): void {
    const { issuer, isDeputy } = this.#selectIssuer(use)
    const message = this.#message(use)
    if (issuer === this.opts.name) this.#issuer.record(issuer, message)
    else this.send(issuer, { ...message, askId: undefined, isDeputy })
  }

  #message(use: Use): PlaceUse {
    const { server, running, refusals, pendingAskIds } = use
    const [firstPending] = pendingAskIds
    use.refusals = 0
    use.toldAtMs = this.opts.clock()
    this.#sequence += 1
    return {
      incarnation: incarnationOf(server),
      running,
      slots: server.slots,
      refusals,
      resolvedAskId: firstPending === undefined ? this.#askId : firstPending - 1,
      sequence: this.#sequence,
    }
  }

  #useOf(server: BackendServer): Use {
    const incarnation = incarnationOf(server)
    const known = this.#uses.get(incarnation)
    if (known) return known
    const use = {
      server,
      running: 0,
      pendingAskIds: new Set<number>(),
      refusals: 0,
      refusedAtMs: Number.NEGATIVE_INFINITY,
      changedAtMs: Number.NEGATIVE_INFINITY,
      toldAtMs: Number.NEGATIVE_INFINITY,
    }
    this.#uses.set(incarnation, use)
    return use
  }

  /** The first instance in the order of a server that answers. */
  #selectIssuer({ server }: Use): { issuer: string; isDeputy: boolean } {
    const { clock, name } = this.opts
    const order = orderIssuers(this.opts.issuers(), incarnationOf(server))
    const issuer = firstAnswering(order, this.#silentUntilMs, clock()) ?? name
    return { issuer, isDeputy: issuer !== order[0] }
  }
}
