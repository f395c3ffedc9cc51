/** Measures how long changes of a configuration take over links of limited bandwidth. */
import { seededRandom } from '@wagtailway/core'
import { FeedFleet } from '../feedFleet/feedFleet.js'
import { largeConfig } from '../feedFleet/largeConfig.js'
import { percentile } from './percentiles.js'

/** Time until all instances have their first list, in milliseconds. */
const WARM_UP_MS = 8_000

/** Time after the last change until the measurement ends, in milliseconds. */
const COOL_DOWN_MS = 9_000

const BYTES_PER_MB = 1_000_000

export interface FeedTrialOptions {
  readonly seed: number
  readonly zones: number
  /** Machines of each zone with a wide and with a narrow link. */
  readonly wide: number
  readonly narrow: number
  readonly wideMbps: number
  readonly narrowMbps: number
  readonly storeMbps: number
  readonly routes: number
  readonly changes: number
  readonly gapMs: number
  readonly maxPropagationMs: number
}

/** What a trial measured; times from the store's acknowledgement of each change. */
export interface FeedTrial {
  readonly instances: number
  readonly configBytes: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
  /** Pairs of instance and change that took longer than the limit. */
  readonly late: number
  readonly storeCalls: number
  readonly storeMb: number
}

/**
 * Stores some changes and measures when each instance has them.
 *
 * @example
 * const { maxMs } = await feedTrial(options)
 */
export async function feedTrial(opts: FeedTrialOptions): Promise<FeedTrial> {
  const fleet = FeedFleet.create({
    seed: opts.seed,
    zones: opts.zones,
    machinesPerZone: [
      { count: opts.wide, linkMbps: opts.wideMbps },
      { count: opts.narrow, linkMbps: opts.narrowMbps },
    ],
    storeLinkMbps: opts.storeMbps,
    maxPropagationMs: opts.maxPropagationMs,
  })
  const contents = largeConfig(opts.routes, seededRandom(opts.seed))
  fleet.putConfig(1, contents)
  await fleet.run(WARM_UP_MS)
  const callsBefore = fleet.storeCalls
  const bytesBefore = fleet.storeLink.sentBytes
  const versions = Array.from({ length: opts.changes }, (_, i) => i + 2)
  for (const version of versions) {
    fleet.putConfig(version, contents)
    await fleet.run(opts.gapMs)
  }
  await fleet.run(COOL_DOWN_MS)
  const delaysMs = versions.flatMap((version) =>
    fleet.propagations(version).map(({ delayMs }) => delayMs),
  )
  return {
    instances: opts.zones * (opts.wide + opts.narrow),
    configBytes: JSON.stringify(contents).length,
    p50Ms: Math.round(percentile(delaysMs, 0.5)),
    p99Ms: Math.round(percentile(delaysMs, 0.99)),
    maxMs: Math.round(percentile(delaysMs, 1)),
    late: delaysMs.filter((ms) => ms > opts.maxPropagationMs).length,
    storeCalls: fleet.storeCalls - callsBefore,
    storeMb: Math.round((fleet.storeLink.sentBytes - bytesBefore) / BYTES_PER_MB),
  }
}
