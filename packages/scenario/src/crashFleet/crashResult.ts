/** Evaluates a run of the crash fleet against the promises. */
import { isContent, type RequestTrait } from '@wagtailway/gateway'

/** Crash under a bad part, or a bad content, from which requests with it are bounded. */
const BOUNDED_FROM_PART_CRASH = 5
const BOUNDED_FROM_CONTENT_CRASH = 3

/** Time after that crash from which the bound holds, in milliseconds. */
const CONTACT_MS = 3_000

export interface CrashFleetResult {
  readonly crashes: number
  /** Requests with a bad trait that were sent after the bound, of all bad traits. */
  readonly lateRuns: number
  readonly soundSent: number
  /** Sound requests whose first attempt reached a server. */
  readonly soundBegun: number
  /** The same, of those sent later than twice the contact time after that crash. */
  readonly lateSoundSent: number
  readonly lateSoundBegun: number
  /** Sound traits that were refused at any instance at the end. */
  readonly falselyRefused: readonly string[]
  /**
   * Time from the bounded crash, or the last if there are fewer, until all instances refuse
   * the trait, in milliseconds.
   */
  readonly knownAfterMs: number | undefined
}

/** A sound request, as far as its evaluation needs it. */
export interface SoundRequest {
  readonly traits: readonly RequestTrait[]
  readonly sentAtMs: number
  readonly hasBegun: boolean
}

export interface CrashRun {
  /** Times of the crashes under each bad trait. */
  readonly crashTimes: ReadonlyMap<string, readonly number[]>
  readonly badRuns: readonly { readonly trait: string; readonly atMs: number }[]
  readonly sound: readonly SoundRequest[]
  /** When all instances refused the first bad trait; `undefined` if they never did. */
  readonly knownAtMs: number | undefined
  /** Whether any instance refuses a trait that is not bad. */
  readonly isRefused: (trait: string) => boolean
}

export function evaluateCrashRun(run: CrashRun): CrashFleetResult {
  const { crashTimes, badRuns, sound, knownAtMs, isRefused } = run
  const bounds = new Map(
    [...crashTimes].flatMap(([trait, times]) => {
      const boundedMs = times[boundedFromCrash(trait) - 1]
      return boundedMs === undefined ? [] : [[trait, boundedMs + CONTACT_MS]]
    }),
  )
  const isLate = (trait: string, atMs: number): boolean =>
    atMs > (bounds.get(trait) ?? Number.POSITIVE_INFINITY)
  const countedCrashMs = Math.min(
    ...[...crashTimes].map(
      ([trait, times]) => times[boundedFromCrash(trait) - 1] ?? times.at(-1) ?? 0,
    ),
  )
  const soundBoundMs = countedCrashMs + 2 * CONTACT_MS
  const lateSound = sound.filter(({ sentAtMs }) => sentAtMs > soundBoundMs)
  const soundTraits = new Set(sound.flatMap(({ traits }) => traits.map(({ id }) => id)))
  return {
    crashes: [...crashTimes.values()].flat().length,
    lateRuns: badRuns.filter(({ trait, atMs }) => isLate(trait, atMs)).length,
    soundSent: sound.length,
    soundBegun: sound.filter(({ hasBegun }) => hasBegun).length,
    lateSoundSent: lateSound.length,
    lateSoundBegun: lateSound.filter(({ hasBegun }) => hasBegun).length,
    falselyRefused: [...soundTraits].filter(isRefused),
    knownAfterMs:
      knownAtMs === undefined ? undefined : Math.max(0, knownAtMs - countedCrashMs),
  }
}

function boundedFromCrash(trait: string): number {
  return isContent(trait) ? BOUNDED_FROM_CONTENT_CRASH : BOUNDED_FROM_PART_CRASH
}
