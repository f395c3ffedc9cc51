/** Mixes of classes after the two deployments, in parts of the capacity. */
import type { LoadClass } from './loadRun.js'

/** A class with its part of all requests in place of a rate. */
export type MixedClass = Omit<LoadClass, 'rate'> & { readonly part: number }

/** Few questions from the counter beside dossiers and many queue checks. */
export const GEBETA_MIX: readonly MixedClass[] = [
  { workspace: 'kebele', share: 1, priority: 8, firstTokenTargetMs: 1_000, part: 0.02 },
  { workspace: 'kebele', share: 1, priority: 3, firstTokenTargetMs: 1_000, part: 0.53 },
  { workspace: 'panel', share: 2, priority: 7, firstTokenTargetMs: 1_000, part: 0.25 },
  { workspace: 'firm', share: 1, priority: 5, firstTokenTargetMs: 1_000, part: 0.2 },
]

/** Few alarm notes with a short target beside handovers, accounting and reports. */
export const HANEUL_MIX: readonly MixedClass[] = [
  { workspace: 'desk', share: 2, priority: 9, firstTokenTargetMs: 300, part: 0.02 },
  { workspace: 'desk', share: 2, priority: 6, firstTokenTargetMs: 1_000, part: 0.38 },
  { workspace: 'accounts', share: 1, priority: 5, firstTokenTargetMs: 1_000, part: 0.3 },
  { workspace: 'schedule', share: 1, priority: 1, firstTokenTargetMs: 1_000, part: 0.3 },
]

/** Alarm notes that ask for twice as much as in the ordinary mix. */
export const HANEUL_ALARM_MIX: readonly MixedClass[] = HANEUL_MIX.map((cls, i) => ({
  ...cls,
  part: [0.04, 0.36][i] ?? cls.part,
}))

/** Classes of a mix at a rate by time, in requests a second. */
export function classesAt(
  mix: readonly MixedClass[],
  rate: (nowMs: number) => number,
): LoadClass[] {
  return mix.map(({ part, ...cls }) => ({
    ...cls,
    rate: (nowMs) => rate(nowMs) * part,
  }))
}
