/** A simulated platform: one configuration, one list of instances, outages. */
import type { Clock, EffectiveConfig } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'

export interface StoredConfig {
  readonly revision: number
  readonly value: EffectiveConfig
}

/**
 * The configuration, the list of instances and counts of the calls for them.
 *
 * @example
 * const platform = VirtualPlatform.create(events.now)
 * platform.store(effective)
 */
export class VirtualPlatform {
  /** Whether every call fails. */
  isUnavailable = false
  /** Delay until a change of the list becomes visible, in milliseconds. */
  listLagMs = 1_000
  /** Number of calls so far, by kind. */
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
    const visibleBeforeMs = this.clock() - this.listLagMs
    while ((this.#lists[1]?.atMs ?? Number.POSITIVE_INFINITY) <= visibleBeforeMs) {
      this.#lists.shift()
    }
  }

  /** The list as it was `listLagMs` ago; the first list if there was none yet. */
  get instances(): readonly Instance[] {
    const visibleBeforeMs = this.clock() - this.listLagMs
    const visible = this.#lists.filter(({ atMs }) => atMs <= visibleBeforeMs).at(-1)
    return (visible ?? this.#lists[0])?.instances ?? []
  }
}
