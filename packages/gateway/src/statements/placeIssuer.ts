/**
 * Issues the places of brittle backend servers to entry instances: one place for one request
 * in progress.
 *
 * What a brittle server takes must not be learned by being refused, so the requests of all
 * instances together stay within its slots. Each message of an instance tells how many
 * requests it has in progress at the server, so a lost message is made good by the next one.
 */
import type { Clock } from '@wagtailway/core'

/** Factor by which a refusal of the server lowers its number of places. */
const REFUSAL_FACTOR = 0.7

/** Interval at which places are added again, in milliseconds, and their share of the slots. */
const RAISE_INTERVAL_MS = 1_000
const RAISE_SHARE = 0.08

/**
 * Time in which a new issuer learns what the instances have in progress, in milliseconds,
 * and the share of the places that it issues meanwhile.
 */
const LEARNING_MS = 1_000
const LEARNING_SHARE = 0.5

/** Share of the places that an instance issues in place of the one responsible. */
const DEPUTY_SHARE = 0.25

/** Time for which an ask waits for the next free place, in milliseconds. */
export const MAX_WAIT_MS = 25

/** Time for which the last word of an instance counts, in milliseconds. */
const USER_TTL_MS = 3_000

/** A server that nobody has asked for this long is forgotten, in milliseconds. */
const SERVER_TTL_MS = 30_000

/** What an instance uses of a server. */
export interface PlaceUse {
  readonly incarnation: string
  /** Requests in progress there. */
  readonly running: number
  /** Requests that the server processes at the same time. */
  readonly slots: number
  /** Requests that it refused this instance since the last message. */
  readonly refusals: number
  /** All asks up to this id are answered or given up, and part of what is in progress. */
  readonly resolvedAskId: number
  /** Increases with each message, also over a restart. */
  readonly sequence: number
}

interface User {
  running: number
  atMs: number
  sequence: number
  /** Ids of granted asks that are not part of what is in progress yet. */
  readonly grantedAskIds: Set<number>
}

interface WaitingAsk {
  readonly user: string
  readonly askId: number
  readonly answer: (granted: boolean) => void
}

interface Issued {
  places: number
  raisedAtMs: number
  readonly createdAtMs: number
  usedAtMs: number
  isDeputy: boolean
  readonly users: Map<string, User>
  waiting: WaitingAsk[]
}

export interface PlaceIssuerOptions {
  readonly clock: Clock
  /** Calls an action after a delay in milliseconds. */
  readonly after: (ms: number, action: () => void) => void
}

/**
 * The places of the servers that this instance is responsible for.
 *
 * @example
 * issuer.ask('n2', use, { askId: 7, isDeputy: false, answer: (granted) => reply(granted) })
 */
export class PlaceIssuer {
  readonly #servers = new Map<string, Issued>()

  private constructor(private readonly opts: PlaceIssuerOptions) {}

  static create(opts: PlaceIssuerOptions): PlaceIssuer {
    return new PlaceIssuer(opts)
  }

  /**
   * Answers whether an instance may send one more request: at once, or when a place becomes
   * free within `MAX_WAIT_MS`.
   */
  ask(
    user: string,
    use: PlaceUse,
    ask: Pick<WaitingAsk, 'askId' | 'answer'> & {
      /** Whether this instance stands in for the one responsible. */
      readonly isDeputy: boolean
    },
  ): void {
    const issued = this.#update(user, use)
    issued.isDeputy = ask.isDeputy
    const { askId, answer } = ask
    if (issued.users.get(user)?.grantedAskIds.has(askId)) {
      answer(true)
      return
    }
    // Beyond one ask for each slot no place becomes free in time.
    if (issued.waiting.length >= use.slots) {
      answer(false)
      return
    }
    const waiting = { user, askId, answer }
    issued.waiting.push(waiting)
    this.#serveWaiting(issued)
    if (!issued.waiting.includes(waiting)) return
    this.opts.after(MAX_WAIT_MS, () => {
      if (!issued.waiting.includes(waiting)) return
      issued.waiting = issued.waiting.filter((other) => other !== waiting)
      answer(false)
    })
  }

  /** Records what an instance uses now. */
  record(user: string, use: PlaceUse): void {
    this.#serveWaiting(this.#update(user, use))
  }

  /** Removes servers that nobody asks for any more. */
  removeOld(): void {
    const oldestMs = this.opts.clock() - SERVER_TTL_MS
    for (const [incarnation, { usedAtMs }] of this.#servers)
      if (usedAtMs < oldestMs) this.#servers.delete(incarnation)
  }

  #serveWaiting(issued: Issued): void {
    while (issued.waiting.length > 0 && this.#inUse(issued) < this.#room(issued)) {
      const next = issued.waiting.shift()
      if (!next) return
      issued.users.get(next.user)?.grantedAskIds.add(next.askId)
      next.answer(true)
    }
  }

  /** Number of places that may be in use now. */
  #room({ places, isDeputy, createdAtMs }: Issued): number {
    const isLearning = this.opts.clock() - createdAtMs < LEARNING_MS
    const share = (isDeputy ? DEPUTY_SHARE : 1) * (isLearning ? LEARNING_SHARE : 1)
    return Math.max(1, Math.floor(places * share))
  }

  #update(user: string, use: PlaceUse): Issued {
    const { incarnation, running, slots, refusals, resolvedAskId, sequence } = use
    const nowMs = this.opts.clock()
    const issued: Issued = this.#servers.get(incarnation) ?? {
      places: slots,
      raisedAtMs: nowMs,
      createdAtMs: nowMs,
      usedAtMs: nowMs,
      isDeputy: false,
      users: new Map<string, User>(),
      waiting: [],
    }
    this.#servers.set(incarnation, issued)
    issued.usedAtMs = nowMs
    const known = issued.users.get(user)
    if (!known || sequence > known.sequence) {
      const grantedAskIds = known?.grantedAskIds ?? new Set<number>()
      for (const id of grantedAskIds) if (id <= resolvedAskId) grantedAskIds.delete(id)
      issued.users.set(user, { running, atMs: nowMs, sequence, grantedAskIds })
    }
    this.#adapt(issued, slots, refusals)
    return issued
  }

  #adapt(issued: Issued, slots: number, refusals: number): void {
    const nowMs = this.opts.clock()
    // Another instance may have told more.
    issued.places = Math.min(issued.places, slots)
    if (refusals > 0) {
      const inUse = Math.min(issued.places, this.#inUse(issued) + refusals)
      issued.places = Math.max(1, inUse * REFUSAL_FACTOR)
      issued.raisedAtMs = nowMs
    } else if (nowMs - issued.raisedAtMs >= RAISE_INTERVAL_MS) {
      issued.places = Math.min(slots, issued.places + Math.max(1, slots * RAISE_SHARE))
      issued.raisedAtMs = nowMs
    }
  }

  #inUse({ users }: Issued): number {
    const oldestMs = this.opts.clock() - USER_TTL_MS
    let sum = 0
    for (const [name, { running, atMs, grantedAskIds }] of users) {
      if (atMs < oldestMs) users.delete(name)
      else sum += running + grantedAskIds.size
    }
    return sum
  }
}
