/** Measures how a fleet follows a store that was restored from an older copy. */
import { seededRandom } from '@wagtailway/core'
import { FeedFleet } from '../feedFleet/feedFleet.js'
import { largeConfig } from '../feedFleet/largeConfig.js'
import { percentile } from './percentiles.js'

/** Time until all instances have their first list, in milliseconds. */
const WARM_UP_MS = 8_000

/** Time after the last restore until the measurement ends, in milliseconds. */
const OBSERVED_MS = 20_000

/** Time from the restore until the operator writes again what was lost, in milliseconds. */
const REWRITE_DELAY_MS = 1_000

const MS_PER_SECOND = 1_000

export interface RestoreTrialOptions {
  readonly seed: number
  readonly zones: number
  /** Machines of each zone with a wide and with a narrow link. */
  readonly wide: number
  readonly narrow: number
  readonly routes: number
  readonly maxPropagationMs: number
  /** Age of the copy at the restore, in milliseconds. */
  readonly copyAgeMs: number
  /** Time for which the store does not respond before it is back, in milliseconds. */
  readonly awayMs: number
  /** Number of restores, one after the other. */
  readonly restores: number
  /** Time from one restore to the next, in milliseconds. */
  readonly gapMs: number
}

/** What a trial measured; times from the last restore. */
export interface RestoreTrial {
  readonly instances: number
  /** Time until half of the instances, and until all, follow the restored store. */
  readonly p50Ms: number
  readonly maxMs: number
  /** Calls to the store from the first restore on. */
  readonly storeCalls: number
  /** Most calls to the store in one second. */
  readonly peakCallsPerS: number
  /** Calls to the store in the same time without a restore. */
  readonly usualStoreCalls: number
}

/**
 * Restores the store from a copy that lacks the newest version of the configuration, which
 * is written again a little later.
 *
 * @example
 * const { maxMs, peakCallsPerS } = await restoreTrial(options)
 */
export async function restoreTrial(opts: RestoreTrialOptions): Promise<RestoreTrial> {
  const fleet = FeedFleet.create({
    seed: opts.seed,
    zones: opts.zones,
    machinesPerZone: [
      { count: opts.wide, linkMbps: 200 },
      { count: opts.narrow, linkMbps: 10 },
    ],
    storeLinkMbps: 1_000,
    maxPropagationMs: opts.maxPropagationMs,
  })
  const contents = largeConfig(opts.routes, seededRandom(opts.seed))
  fleet.putConfig(1, contents)
  await fleet.run(WARM_UP_MS)
  const observedMs = OBSERVED_MS + opts.restores * (opts.gapMs + opts.awayMs)
  const usualFrom = fleet.storeCalls
  await fleet.run(observedMs)
  const usualStoreCalls = fleet.storeCalls - usualFrom
  const firstCall = fleet.storeCalls
  const endMs = fleet.world.nowMs + observedMs
  for (let version = 2; version < 2 + opts.restores; version += 1) {
    const copy = fleet.store.copy()
    fleet.putConfig(version, contents)
    await fleet.run(opts.copyAgeMs)
    fleet.losesStoreCall = () => true
    await fleet.run(opts.awayMs)
    fleet.losesStoreCall = () => false
    fleet.restoreStore(copy)
    fleet.world.after(REWRITE_DELAY_MS, () => {
      fleet.putConfig(version, contents)
    })
    await fleet.run(opts.gapMs)
  }
  await fleet.run(endMs - fleet.world.nowMs)
  const callTimesMs = fleet.storeCallTimesMs.slice(firstCall)
  return {
    instances: opts.zones * (opts.wide + opts.narrow),
    p50Ms: Math.round(percentile(fleet.noticeDelaysMs, 0.5)),
    maxMs: Math.round(percentile(fleet.noticeDelaysMs, 1)),
    storeCalls: callTimesMs.length,
    peakCallsPerS: mostWithin(callTimesMs, MS_PER_SECOND),
    usualStoreCalls,
  }
}

/** Largest number of the ascending times within any window of this length. */
function mostWithin(timesMs: readonly number[], windowMs: number): number {
  let first = 0
  let most = 0
  for (const [i, ms] of timesMs.entries()) {
    while ((timesMs[first] ?? ms) <= ms - windowMs) first += 1
    most = Math.max(most, i - first + 1)
  }
  return most
}
