/** Mixes of request classes, modelled on the two deployments. */
import type { LoadClass } from './loadRun.js'

/** A class with its fraction of all requests instead of a rate. */
export type MixedClass = Omit<LoadClass, 'rate'> & { readonly fraction: number }

/** Few questions from the counter, along with dossiers and many queue checks. */
export const GEBETA_MIX: readonly MixedClass[] = [
  {
    workspace: 'kebele',
    share: 1,
    priority: 8,
    firstTokenTargetMs: 1_000,
    fraction: 0.02,
  },
  {
    workspace: 'kebele',
    share: 1,
    priority: 3,
    firstTokenTargetMs: 1_000,
    fraction: 0.53,
  },
  {
    workspace: 'panel',
    share: 2,
    priority: 7,
    firstTokenTargetMs: 1_000,
    fraction: 0.25,
  },
  { workspace: 'firm', share: 1, priority: 5, firstTokenTargetMs: 1_000, fraction: 0.2 },
]

/** Few alarm notes with a short target, along with handovers, accounting and reports. */
export const HANEUL_MIX: readonly MixedClass[] = [
  { workspace: 'desk', share: 2, priority: 9, firstTokenTargetMs: 300, fraction: 0.02 },
  { workspace: 'desk', share: 2, priority: 6, firstTokenTargetMs: 1_000, fraction: 0.38 },
  {
    workspace: 'accounts',
    share: 1,
    priority: 5,
    firstTokenTargetMs: 1_000,
    fraction: 0.3,
  },
  {
    workspace: 'schedule',
    share: 1,
    priority: 1,
    firstTokenTargetMs: 1_000,
    fraction: 0.3,
  },
]

/** `HANEUL_MIX` with twice as many alarm notes and fewer of the second class. */
export const HANEUL_ALARM_MIX: readonly MixedClass[] = HANEUL_MIX.map((cls, i) => ({
  ...cls,
  fraction: [0.04, 0.36][i] ?? cls.fraction,
}))

/** Classes of a mix; `rate` is the total requests per second as a function of time. */
export function classesAt(
  mix: readonly MixedClass[],
  rate: (nowMs: number) => number,
): LoadClass[] {
  return mix.map(({ fraction, ...cls }) => ({
    ...cls,
    rate: (nowMs) => rate(nowMs) * fraction,
  }))
}
