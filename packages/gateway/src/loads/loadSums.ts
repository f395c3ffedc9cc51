/** Sums of the loads and prefill speeds that several entry instances know of. */
import type { SpeedsByContextLength } from '../placement/prefillSpeeds.js'
import { addLoad, type ServerLoad } from '../placement/serverLoad.js'

/** Loads by hash of the server's id. */
export type LoadsByHash = ReadonlyMap<number, ServerLoad>

/** A prefill speed that several instances agree on. */
export interface SharedSpeed {
  readonly msPerToken: number
  /** Number of instances that observed it. */
  readonly instances: number
}

/** Shared speeds by model and context length; `undefined` without observations. */
export type SharedSpeeds = ReadonlyMap<string, readonly (SharedSpeed | undefined)[]>

/** Quantile of the speeds that instances observed; higher values include time in queues. */
const LOW_QUANTILE = 0.25

/**
 * Adds up loads.
 *
 * @example
 * sumLoads([new Map([[7, { running: 1, waitingMs: [20] }]]), other]).get(7)?.running
 */
export function sumLoads(all: Iterable<LoadsByHash>): Map<number, ServerLoad> {
  const sums = new Map<number, ServerLoad>()
  for (const loads of all) {
    for (const [hash, load] of loads) {
      const sum = sums.get(hash) ?? { running: 0, waitingMs: [] }
      addLoad(sum, load)
      sums.set(hash, sum)
    }
  }
  return sums
}

/**
 * The lower quartile of some values; `undefined` without any.
 *
 * @example
 * lowerQuartile([4, 1, 3, 2]) // 2
 */
export function lowerQuartile(values: readonly number[]): number | undefined {
  const ascending = values.toSorted((a, b) => a - b)
  return ascending[Math.floor(ascending.length * LOW_QUANTILE)]
}

/**
 * The lower quartile of the speeds that single instances observed.
 *
 * @example
 * lowerQuartiles([new Map([['large', [0.05]]])]).get('large')?.[0]?.msPerToken // 0.05
 */
export function lowerQuartiles(
  all: readonly ReadonlyMap<string, SpeedsByContextLength>[],
): SharedSpeeds {
  return combineByModel(all, (values) => {
    const msPerToken = lowerQuartile(values)
    return msPerToken === undefined ? undefined : { msPerToken, instances: values.length }
  })
}

/** The mean of shared speeds, weighted by their instances. */
export function meanSpeeds(all: readonly SharedSpeeds[]): SharedSpeeds {
  return combineByModel(all, (values) => {
    const instances = values.reduce((sum, value) => sum + value.instances, 0)
    const total = values.reduce((sum, v) => sum + v.msPerToken * v.instances, 0)
    return instances > 0 ? { msPerToken: total / instances, instances } : undefined
  })
}

function combineByModel<T>(
  all: readonly ReadonlyMap<string, readonly (T | undefined)[]>[],
  combine: (values: readonly T[]) => SharedSpeed | undefined,
): SharedSpeeds {
  const models = new Set(all.flatMap((speeds) => [...speeds.keys()]))
  return new Map(
    [...models].map((model) => {
      const byLength = all.flatMap((speeds) => {
        const values = speeds.get(model)
        return values ? [values] : []
      })
      const lengths = Math.max(...byLength.map(({ length }) => length))
      const combined = Array.from({ length: lengths }, (_, i) =>
        combine(byLength.flatMap((values) => values[i] ?? [])),
      )
      return [model, combined]
    }),
  )
}
