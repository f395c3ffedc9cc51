/** Compares policies for a server that names a rate limit, in virtual time. */
import { LIMIT_POLICIES } from '../limitFleet/limitPolicies.js'
import { limitTrial } from '../limitFleet/limitTrial.js'
import type { ArrivalPattern } from '../limitFleet/limitFleet.js'

export interface LimitTrialsOptions {
  readonly instances: number
  /** Requests a second that the server takes. */
  readonly limit: number
  readonly seeds: number
  readonly arrival: ArrivalPattern
  readonly trouble: string
  /** Share of the messages and reports between instances that are lost. */
  readonly loss: number
  /** Names of the policies to run; all without it. */
  readonly policies?: readonly string[]
}

/** The worst of all seeds, and means where it says so. */
export interface LimitTrialSummary {
  readonly policy: string
  readonly worst: number
  readonly allowed: number
  readonly meanUsedShare: number
  readonly leastUsedShare: number
  readonly reuseMs: number
  readonly meanBytesPerS: number
  readonly maxBytesPerS: number
}

/**
 * Runs the fleet with each policy and seed.
 *
 * @example
 * await limitTrials({ instances: 8, limit: 1, seeds: 5, arrival: 'even', ...rest })
 */
export async function limitTrials(
  opts: LimitTrialsOptions,
): Promise<LimitTrialSummary[]> {
  const summaries: LimitTrialSummary[] = []
  for (const [name, policy] of Object.entries(LIMIT_POLICIES)) {
    if (opts.policies && !opts.policies.includes(name)) continue
    const results = []
    for (let seed = 1; seed <= opts.seeds; seed += 1)
      results.push(await limitTrial({ ...opts, seed, policy }))
    const shares = results.map(({ usedShare }) => usedShare)
    summaries.push({
      policy: name,
      worst: Math.max(...results.map(({ worst }) => worst)),
      allowed: results[0]?.allowed ?? 0,
      meanUsedShare: round(shares.reduce((sum, n) => sum + n, 0) / shares.length),
      leastUsedShare: round(Math.min(...shares)),
      reuseMs: Math.round(Math.max(...results.map(({ reuseMs }) => reuseMs))),
      meanBytesPerS: Math.round(
        Math.max(...results.map(({ meanBytesPerS }) => meanBytesPerS)),
      ),
      maxBytesPerS: Math.round(
        Math.max(...results.map(({ maxBytesPerS }) => maxBytesPerS)),
      ),
    })
  }
  return summaries
}

function round(value: number): number {
  return Math.round(value * 100) / 100
}
