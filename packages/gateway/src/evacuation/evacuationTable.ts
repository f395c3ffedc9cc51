/**
 * Availability zones that operators have evacuated: their servers get nothing new.
 *
 * A zone that is wrongly taken as evacuated costs capacity, a request that reaches an
 * evacuated zone breaks a rule. So after a restore of the store from an older copy, both what
 * is known and what is listed count, until the operator has had time to write again.
 */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'

/**
 * Time for which an evacuation is kept that is missing after a restore of the store, in
 * milliseconds; the same as for rollouts, because the operator writes both again.
 */
export const MISSING_EVACUATION_MS = 5_000

/**
 * How an evacuation changed: `missing` means that a restored store lacks it and it is kept for
 * a while, `given_up` that the operator has not written it again in that time.
 */
export type EvacuationState = 'evacuated' | 'revoked' | 'missing' | 'given_up'

/** A change of what is known about one zone. */
export interface EvacuationChange {
  readonly zone: string
  readonly state: EvacuationState
  /** Time for which the zone has been evacuated as far as this process knows, in milliseconds. */
  readonly knownForMs: number
}

export interface EvacuationTableOptions {
  readonly clock: Clock
  readonly onChange: (change: EvacuationChange) => void
}

interface KnownEvacuation {
  readonly sinceMs: number
  /** Set while a restored store lacks the evacuation. */
  readonly missingUntilMs?: number
}

/**
 * The evacuated zones.
 *
 * @example
 * const evacuations = EvacuationTable.create({ clock, onChange })
 * evacuations.put('z2')
 * evacuations.isOpen(server) // false for a server in z2
 */
export class EvacuationTable {
  readonly #zones = new Map<string, KnownEvacuation>()

  private constructor(private readonly opts: EvacuationTableOptions) {}

  static create(opts: EvacuationTableOptions): EvacuationTable {
    return new EvacuationTable(opts)
  }

  /** Whether a server may get new requests, as far as its zone is concerned. */
  isOpen({ zone }: Pick<BackendServer, 'zone'>): boolean {
    return !this.#zones.has(zone)
  }

  /** Whether there are servers, and all of them are in evacuated zones. */
  areAllEvacuated(servers: readonly Pick<BackendServer, 'zone'>[]): boolean {
    return servers.length > 0 && servers.every((server) => !this.isOpen(server))
  }

  /** Number of evacuated zones. */
  get size(): number {
    return this.#zones.size
  }

  /** Evacuates a zone. */
  put(zone: string): void {
    const known = this.#zones.get(zone)
    if (known && known.missingUntilMs === undefined) return
    const sinceMs = known?.sinceMs ?? this.opts.clock()
    this.#zones.set(zone, { sinceMs })
    this.#report(zone, 'evacuated', sinceMs)
  }

  /** Revokes the evacuation of a zone. */
  remove(zone: string): void {
    this.#delete(zone, 'revoked')
  }

  /** Revokes the evacuations of all other zones. */
  retainOnly(zones: ReadonlySet<string>): void {
    for (const zone of [...this.#zones.keys()]) if (!zones.has(zone)) this.remove(zone)
  }

  /** Applies that a restored store lacks the evacuation of a zone. */
  markMissing(zone: string): void {
    const known = this.#zones.get(zone)
    if (!known || known.missingUntilMs !== undefined) return
    const missingUntilMs = this.opts.clock() + MISSING_EVACUATION_MS
    this.#zones.set(zone, { ...known, missingUntilMs })
    this.#report(zone, 'missing', known.sinceMs)
  }

  /** Gives up missing evacuations that the operator has not written again in time. */
  expireMissing(): void {
    const nowMs = this.opts.clock()
    for (const [zone, { missingUntilMs = Infinity }] of [...this.#zones])
      if (nowMs >= missingUntilMs) this.#delete(zone, 'given_up')
  }

  #delete(zone: string, state: EvacuationState): void {
    const known = this.#zones.get(zone)
    if (!known) return
    this.#zones.delete(zone)
    this.#report(zone, state, known.sinceMs)
  }

  #report(zone: string, state: EvacuationState, sinceMs: number): void {
    const knownForMs = Math.round(this.opts.clock() - sinceMs)
    this.opts.onChange({ zone, state, knownForMs })
  }
}
