/** Random fault schedules for the models. */
import fc from 'fast-check'
import type { PlatformFaultRates } from './virtualPlatform.js'

/** An action of a schedule: a request or a fault. */
export type Step =
  | { readonly type: 'work'; readonly node: number; readonly key: number }
  | { readonly type: 'freeze'; readonly node: number; readonly ms: number }
  | { readonly type: 'kill'; readonly node: number }
  | { readonly type: 'outage'; readonly ms: number }

export interface Schedule {
  readonly seed: number
  readonly rates: PlatformFaultRates
  /**
   * Fraction of the messages between nodes that are lost; the same fraction of the others
   * is late.
   */
  readonly networkLoss: number
  readonly steps: readonly { readonly atMs: number; readonly step: Step }[]
}

export const NODES = 4
export const KEYS = 5

/** Time during which the steps of a schedule happen, in milliseconds. */
export const SCHEDULE_MS = 30_000

const MAX_STEPS = 40
const MAX_FREEZE_MS = 20_000
const MAX_OUTAGE_MS = 15_000

const node = fc.nat({ max: NODES - 1 })

const work = fc.record({
  type: fc.constant('work' as const),
  node,
  key: fc.nat({ max: KEYS - 1 }),
})

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: work },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('freeze' as const),
      node,
      ms: fc.integer({ min: 1, max: MAX_FREEZE_MS }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), node }) },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('outage' as const),
      ms: fc.integer({ min: 1, max: MAX_OUTAGE_MS }),
    }),
  },
)

const rate = fc.constantFrom(0, 0, 0.05, 0.2)

/** Times are spread out or clustered in two bursts, so that steps race. */
const atMs = fc.oneof(
  fc.nat({ max: SCHEDULE_MS }),
  fc.integer({ min: 5_000, max: 5_020 }),
  fc.integer({ min: 12_000, max: 12_300 }),
)

export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  rates: fc.record({ lost: rate, unconfirmed: rate, late: rate }),
  networkLoss: rate,
  steps: fc.array(fc.record({ atMs, step }), { minLength: 2, maxLength: MAX_STEPS }),
})
