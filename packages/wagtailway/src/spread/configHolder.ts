/**
 * The configuration in force at this node and how fresh it is known to be.
 *
 * A revision replaces only an older one. A node that can't show that its
 * revision was the newest within the freshness bound must refuse new requests.
 */
import type { Clock } from '../clock.js'
import { ConfigIndex } from '../config/configIndex.js'
import type { Effective } from '../config/effective.js'

export interface ConfigHolderOptions {
  /** Monotonic clock. */
  readonly clock: Clock
  /** Age of the newest proof beyond which the configuration is stale, in milliseconds. */
  readonly freshMs: number
}

/**
 * Holds the newest configuration.
 *
 * @example
 * const holder = ConfigHolder.create({ clock: monotonicClock, freshMs: 10_000 })
 * holder.offer(7, effective)
 * holder.confirm(7, 0)
 */
export class ConfigHolder {
  #current: ConfigIndex | undefined
  #confirmedAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: ConfigHolderOptions) {}

  static create(opts: ConfigHolderOptions): ConfigHolder {
    return new ConfigHolder(opts)
  }

  get current(): ConfigIndex | undefined {
    return this.#current
  }

  get revision(): number {
    return this.#current?.revision ?? 0
  }

  /** Age of the proof that the revision is the newest, in milliseconds. */
  get ageMs(): number {
    return this.opts.clock() - this.#confirmedAtMs
  }

  get isFresh(): boolean {
    return this.#current !== undefined && this.ageMs <= this.opts.freshMs
  }

  /** Takes a revision if it is newer; returns whether it came into force. */
  offer(revision: number, effective: Effective): boolean {
    if (revision <= this.revision) return false
    this.#current = ConfigIndex.create(revision, effective)
    return true
  }

  /** Notes that `revision` was the newest `ageMs` ago. */
  confirm(revision: number, ageMs: number): void {
    if (revision !== this.revision) return
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, this.opts.clock() - ageMs)
  }
}
