/** The platform as a fleet in virtual time sees it: one configuration, one list, outages. */
import type { Clock, EffectiveConfig } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'

export interface StoredConfig {
  readonly revision: number
  readonly value: EffectiveConfig
}

/**
 * Configuration and list of instances, with counted calls.
 *
 * @example
 * const platform = VirtualPlatform.create(events.now)
 * platform.store(effective)
 */
export class VirtualPlatform {
  /** Whether every call fails. */
  isAway = false
  /** Age of the list that is handed out, in milliseconds. */
  listLagMs = 1_000
  /** Calls so far by kind. */
  readonly calls = { watch: 0, instances: 0 }
  #config: StoredConfig | undefined
  #lists: { atMs: number; instances: readonly Instance[] }[] = []

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): VirtualPlatform {
    return new VirtualPlatform(clock)
  }

  get config(): StoredConfig | undefined {
    return this.#config
  }

  get revision(): number {
    return this.#config?.revision ?? 0
  }

  /** Stores a new revision of the configuration. */
  store(value: EffectiveConfig): number {
    this.#config = { revision: this.revision + 1, value }
    return this.revision
  }

  setInstances(instances: readonly Instance[]): void {
    this.#lists.push({ atMs: this.clock(), instances })
    const until = this.clock() - this.listLagMs
    while ((this.#lists[1]?.atMs ?? Number.POSITIVE_INFINITY) <= until) {
      this.#lists.shift()
    }
  }

  /** The list as it was a while ago; at the start the first one. */
  get instances(): readonly Instance[] {
    const until = this.clock() - this.listLagMs
    const visible = this.#lists.filter(({ atMs }) => atMs <= until).at(-1)
    return (visible ?? this.#lists[0])?.instances ?? []
  }
}
