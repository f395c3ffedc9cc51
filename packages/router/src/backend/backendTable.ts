/** Live backend servers from the platform's list, with this node's own counts. */
import type { ReplicaView } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'

/** One backend server. */
export class Backend {
  /** Requests of this node in progress there. */
  inFlight = 0
  /** Queue length that it last reported. */
  reportedLoad = 0

  private constructor(readonly instance: Instance) {}

  static create(instance: Instance): Backend {
    return new Backend(instance)
  }

  view(): ReplicaView {
    return {
      id: this.instance.id,
      zone: this.instance.zone,
      inFlight: this.inFlight,
      reportedLoad: this.reportedLoad,
      reportAgeMs: 0,
    }
  }
}

/**
 * Backend servers that may get new work.
 *
 * @example
 * const table = BackendTable.create()
 * table.replace(instances)
 * table.serving('summariser@v2')
 */
export class BackendTable {
  #byId = new Map<string, Backend>()
  #byVersion = new Map<string, Backend[]>()
  #byService = new Map<string, Backend[]>()

  static create(): BackendTable {
    return new BackendTable()
  }

  /** Takes over a new list; counts of servers that stay are kept. */
  replace(instances: readonly Instance[]): void {
    const live = instances.filter((i) => i.state === 'live' && i.role !== 'entry')
    const next = live.map((instance) => this.#keep(instance))
    this.#byId = new Map(next.map((backend) => [backend.instance.id, backend]))
    this.#byVersion = groupBy(next, ({ instance }) => instance.versions)
    this.#byService = groupBy(next, ({ instance }) =>
      instance.service === undefined ? [] : [instance.service],
    )
  }

  /** Backend servers that offer a version, given as `model@version`. */
  serving(versionKey: string): readonly Backend[] {
    return this.#byVersion.get(versionKey) ?? []
  }

  /** Backend servers of a plain service. */
  ofService(name: string): readonly Backend[] {
    return this.#byService.get(name) ?? []
  }

  #keep(instance: Instance): Backend {
    const known = this.#byId.get(instance.id)
    const backend = Backend.create(instance)
    backend.inFlight = known?.inFlight ?? 0
    backend.reportedLoad = known?.reportedLoad ?? 0
    return known?.instance.address === instance.address && same(known.instance, instance)
      ? known
      : backend
  }
}

function same(a: Instance, b: Instance): boolean {
  return a.versions.join() === b.versions.join() && a.service === b.service
}

function groupBy(
  backends: readonly Backend[],
  keysOf: (backend: Backend) => readonly string[],
): Map<string, Backend[]> {
  const groups = new Map<string, Backend[]>()
  for (const backend of backends) {
    for (const key of keysOf(backend)) {
      const group = groups.get(key) ?? []
      group.push(backend)
      groups.set(key, group)
    }
  }
  return groups
}
