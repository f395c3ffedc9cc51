/** Trials of crash policies: one bad trait, and crashes for other causes. */
import { CrashFleet, type CrashFleetOptions } from './crashFleet.js'
import type { CrashFleetResult } from './crashResult.js'
import {
  firstPartBreaker,
  noProtection,
  traitQuarantine,
  singleAttempt,
  type CrashPolicy,
} from './crashPolicies.js'

/** Policies to compare, by name. */
export const CRASH_POLICIES: Readonly<Record<string, CrashPolicy>> = {
  none: noProtection,
  'single attempt': singleAttempt,
  'first part breaker': firstPartBreaker,
  quarantine: traitQuarantine,
}

const BAD_FROM_MS = 5_000
const BAD_FOR_MS = 20_000
const RUN_MS = 28_000

type TrialOptions = Omit<CrashFleetOptions, 'badTraits' | 'badPerSecond'> & {
  readonly badPerSecond?: number
}

/** Requests with the bad trait per second. */
const DEFAULT_BAD_PER_SECOND = 8

/** Runs a fleet that gets requests with bad traits for a while. */
export async function badTraitTrial(
  opts: TrialOptions,
  badTraits: readonly string[] = ['bad'],
): Promise<CrashFleetResult> {
  const badPerSecond = opts.badPerSecond ?? DEFAULT_BAD_PER_SECOND
  const fleet = CrashFleet.create({ ...opts, badPerSecond, badTraits })
  fleet.sendBadFrom(BAD_FROM_MS, BAD_FOR_MS)
  return fleet.run(RUN_MS)
}

/** Other causes for which servers end or connections break. */
export const OTHER_CAUSES: Readonly<
  Record<string, (fleet: CrashFleet, servers: number) => void>
> = {
  'rack, then power': (fleet, servers) => {
    fleet.world.after(6_000, () => {
      fleet.endServers(Math.ceil(servers / 3))
    })
    fleet.world.after(10_000, () => {
      fleet.endServers(servers)
    })
  },
  'one after the other': (fleet) => {
    for (let atMs = 5_000; atMs < 20_000; atMs += 700) {
      fleet.world.after(atMs, () => {
        fleet.endServers(1)
      })
    }
  },
  resets: (fleet) => {
    for (let atMs = 5_000; atMs < 20_000; atMs += 200) {
      fleet.world.after(atMs, () => {
        fleet.resetConnections()
      })
    }
  },
  'instances restarted among crashes': (fleet) => {
    for (let atMs = 5_000; atMs < 20_000; atMs += 1_500) {
      fleet.world.after(atMs, () => {
        fleet.endServers(2)
      })
      fleet.world.after(atMs + 700, () => {
        fleet.restartInstances()
      })
    }
  },
}

/** Runs a fleet without bad traits whose servers end for another cause. */
export async function otherCauseTrial(
  opts: TrialOptions,
  cause: (fleet: CrashFleet, servers: number) => void,
): Promise<CrashFleetResult> {
  const fleet = CrashFleet.create({ ...opts, badPerSecond: 1, badTraits: [] })
  cause(fleet, opts.servers)
  return fleet.run(RUN_MS)
}
