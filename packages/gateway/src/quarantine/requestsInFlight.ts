/** Traits of the requests that each backend server may be working on. */
import type { Clock } from '@wagtailway/core'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import type { RequestTrait } from './requestTrait.js'

/**
 * Time for which a request that this process has given up still counts as in flight, in
 * milliseconds: the server may have begun to work on it before it noticed.
 */
const ABANDONED_MS = 300

/** One request sent to a server, as long as it may be the one that crashes it. */
export interface RequestInFlight {
  /** Whether the request may be the one that crashes its server. */
  readonly isSuspect: boolean
  /** Records that the response went on after it had begun at this time. */
  recordSound(beganAtMs: number): void
  /** Records that this process no longer waits for the response. */
  end(): void
  /** Records that the request is not at fault, such as one that has not run. */
  discard(): void
}

interface Entry {
  readonly traits: readonly RequestTrait[]
  endedAtMs: number | undefined
}

/**
 * Requests in flight by incarnation of a server, without those whose response goes on.
 *
 * @example
 * const requests = RequestsInFlight.create(clock, (traits, beganAtMs) => undefined)
 * const inFlight = requests.begin(server, traits)
 * requests.traitsAt(incarnationOf(server)) // positions of the traits
 */
export class RequestsInFlight {
  readonly #entries = new Map<string, Set<Entry>>()

  private constructor(
    private readonly clock: Clock,
    private readonly onSound: (
      traits: readonly RequestTrait[],
      beganAtMs: number,
    ) => void,
  ) {}

  /** @param onSound Called with the traits of each request whose response goes on. */
  static create(
    clock: Clock,
    onSound: (traits: readonly RequestTrait[], beganAtMs: number) => void,
  ): RequestsInFlight {
    return new RequestsInFlight(clock, onSound)
  }

  /** Records a request. */
  begin(server: BackendServer, traits: readonly RequestTrait[]): RequestInFlight {
    const incarnation = incarnationOf(server)
    const entries = this.#entries.get(incarnation) ?? new Set()
    this.#removeAbandoned(incarnation, entries)
    this.#entries.set(incarnation, entries)
    const entry: Entry = { traits, endedAtMs: undefined }
    entries.add(entry)
    return {
      get isSuspect() {
        return entries.has(entry)
      },
      recordSound: (beganAtMs) => {
        if (!entries.delete(entry)) return
        this.onSound(traits, beganAtMs)
      },
      end: () => {
        entry.endedAtMs ??= this.clock()
      },
      discard: () => {
        entries.delete(entry)
      },
    }
  }

  /** Position of each trait in flight at an incarnation of a server. */
  traitsAt(incarnation: string): ReadonlyMap<string, number> {
    const entries = this.#entries.get(incarnation)
    if (!entries) return new Map()
    this.#removeAbandoned(incarnation, entries)
    return new Map(
      [...entries].flatMap(({ traits }) =>
        traits.map(({ id, position }): [string, number] => [id, position]),
      ),
    )
  }

  /** Forgets an incarnation of a server. */
  forget(incarnation: string): void {
    this.#entries.delete(incarnation)
  }

  #removeAbandoned(incarnation: string, entries: Set<Entry>): void {
    const oldestMs = this.clock() - ABANDONED_MS
    for (const entry of entries) {
      if (entry.endedAtMs !== undefined && entry.endedAtMs < oldestMs)
        entries.delete(entry)
    }
    if (entries.size === 0) this.#entries.delete(incarnation)
  }
}
