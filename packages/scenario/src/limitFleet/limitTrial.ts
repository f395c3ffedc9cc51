/** Trials of policies for a server that names a rate limit, with troubles. */
import {
  LimitFleet,
  type LimitFleetOptions,
  type LimitFleetResult,
} from './limitFleet.js'

const LIMIT_FROM_MS = 4_000
const LIMIT_UNTIL_MS = 34_000
const TROUBLE_AT_MS = 14_000
const DOWN_MS = 1_500
const CUT_MS = 6_000

/** Troubles that come while the server names its limit. */
export const LIMIT_TROUBLES: Readonly<
  Record<string, (fleet: LimitFleet, instances: number) => void>
> = {
  none: () => undefined,
  'all restarted': (fleet, instances) => {
    fleet.restart(range(0, instances), DOWN_MS)
  },
  'restarted one after the other': (fleet, instances) => {
    for (let i = 0; i < Math.min(instances, 8); i += 1) {
      fleet.world.after(i * 2_000, () => {
        fleet.restart([i], DOWN_MS)
      })
    }
  },
  'a third cut off': (fleet, instances) => {
    fleet.isolate(range(0, Math.ceil(instances / 3)), CUT_MS)
  },
}

export type LimitTrialOptions = Omit<LimitFleetOptions, 'requestsPerS'> & {
  readonly limit: number
  readonly trouble: string
}

/** Requests for the server, as a multiple of its limit; at least so many a second. */
const REQUESTS_PER_LIMIT = 3
const MIN_REQUESTS_PER_S = 8

/**
 * Runs a fleet whose server names a limit for half a minute.
 *
 * @example
 * await limitTrial({ seed: 1, instances: 8, limit: 1, trouble: 'none', ...rest })
 */
export async function limitTrial(opts: LimitTrialOptions): Promise<LimitFleetResult> {
  const { limit, trouble, instances } = opts
  const requestsPerS = Math.max(MIN_REQUESTS_PER_S, limit * REQUESTS_PER_LIMIT)
  const fleet = LimitFleet.create({ ...opts, requestsPerS })
  fleet.world.after(TROUBLE_AT_MS, () => {
    LIMIT_TROUBLES[trouble]?.(fleet, instances)
  })
  return fleet.run({ limit, fromMs: LIMIT_FROM_MS, untilMs: LIMIT_UNTIL_MS })
}

function range(from: number, until: number): number[] {
  return Array.from({ length: until - from }, (_, i) => from + i)
}
