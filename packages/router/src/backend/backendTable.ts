/** Live backend servers from the platform's list, grouped by version and plain service. */
import type { ServerPool } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'

/** Creates the pool of one version or plain service. */
export type CreatePool = () => ServerPool

/** Backend servers of one version or plain service, and the pool that admits requests to them. */
export class BackendGroup {
  #instances = new Map<string, Instance>()

  private constructor(readonly pool: ServerPool) {}

  static create(pool: ServerPool): BackendGroup {
    return new BackendGroup(pool)
  }

  get size(): number {
    return this.#instances.size
  }

  /** Returns the instance with this id if it is still listed as live. */
  find(id: string): Instance | undefined {
    return this.#instances.get(id)
  }

  replace(instances: readonly Instance[]): void {
    this.#instances = new Map(instances.map((instance) => [instance.id, instance]))
    this.pool.setReplicas(instances)
  }
}

/**
 * Backend servers that may get new requests.
 *
 * @example
 * const table = BackendTable.create(createPool)
 * table.replace(instances)
 * table.forVersion('summariser@v2')?.pool.enter(request)
 */
export class BackendTable {
  readonly #byVersion = new Map<string, BackendGroup>()
  readonly #byService = new Map<string, BackendGroup>()

  private constructor(private readonly createPool: CreatePool) {}

  static create(createPool: CreatePool): BackendTable {
    return new BackendTable(createPool)
  }

  /** Applies a new list; pools retain the state of servers that are still listed. */
  replace(instances: readonly Instance[]): void {
    const live = instances.filter((i) => i.state === 'live' && i.role !== 'entry')
    this.#update(this.#byVersion, live, ({ versions }) => versions)
    this.#update(this.#byService, live, ({ service }) =>
      service === undefined ? [] : [service],
    )
  }

  /** Backend servers that offer a version, given as `model@version`. */
  forVersion(versionKey: string): BackendGroup | undefined {
    return this.#byVersion.get(versionKey)
  }

  /** Backend servers of a plain service. */
  forService(name: string): BackendGroup | undefined {
    return this.#byService.get(name)
  }

  /** Returns every pool with its version key or service name. */
  pools(): [string, ServerPool][] {
    const groups = [...this.#byVersion, ...this.#byService]
    return groups.map(([key, { pool }]) => [key, pool])
  }

  /** Refuses requests that have waited too long; must be called regularly. */
  sweep(): void {
    for (const [, pool] of this.pools()) pool.sweep()
  }

  #update(
    groups: Map<string, BackendGroup>,
    live: readonly Instance[],
    keysOf: (instance: Instance) => readonly string[],
  ): void {
    const keys = new Set([...groups.keys(), ...live.flatMap(keysOf)])
    for (const key of keys) {
      const group = groups.get(key) ?? BackendGroup.create(this.createPool())
      groups.set(key, group)
      group.replace(live.filter((instance) => keysOf(instance).includes(key)))
    }
  }
}
