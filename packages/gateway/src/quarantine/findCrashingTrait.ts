/**
 * Finds the trait of requests under which backend servers crash.
 *
 * A server that ends takes all its requests with it, so most traits in flight there are
 * innocent. The trait at fault is in flight at each crash and never in a response that goes
 * on, while the others are cleared by such responses. A trait that had many of them before is
 * less likely to be at fault, which also holds while reports of some crashes are missing.
 * Servers that end at the same moment count as one crash, because a rack or a zone may have
 * failed.
 */
import { isContent } from './requestTrait.js'

/** One end of a backend server that nobody had planned. */
export interface ServerCrash {
  /** On the monotonic clock, in milliseconds. */
  readonly atMs: number
  /**
   * Position of each trait that was in flight there, in a request whose response had not
   * gone on yet.
   */
  readonly traits: ReadonlyMap<string, number>
}

/** A crash that quarantined contents explain, and no quarantined part. */
export interface ExplainedCrash extends ServerCrash {
  readonly explainedBy: readonly string[]
}

/** Responses that went on after they had begun, over one trait. */
export interface SoundResponses {
  /** When the latest of them began, on the monotonic clock. */
  readonly latestBeganAtMs: number
  readonly count: number
}

/** Crashes within this time count as one, in milliseconds. */
const SIMULTANEOUS_MS = 30

/**
 * Score from which a trait is at fault: its crashes, less the doubt that its sound responses
 * raise. Two crashes may be a rack and a power failure.
 */
const MIN_SCORE = 3

/** Score from which a trait is at fault even if another one fits the crashes as well. */
const MIN_AMBIGUOUS_SCORE = 5

/**
 * Crashes that each power of ten of sound responses outweighs: a popular trait is in flight
 * at most servers at any time, so that a crash tells little about it.
 */
const DOUBT_PER_POWER_OF_TEN = 2

/** Largest doubt, so that a popular trait that turns bad is still found. */
const MAX_DOUBT = 3

/**
 * Doubt of a content that ever had a sound response. Repeats of one content are few, so that
 * their number tells nothing.
 */
const REPEATED_CONTENT_DOUBT = 1.5

/**
 * Explanations by single crashes or contents that one part must replace to be suspected of
 * crashes that contents explain.
 */
const MIN_REPLACED_EXPLANATIONS = 4

interface Candidate {
  readonly trait: string
  readonly score: number
  readonly position: number
}

/**
 * Returns the trait that explains the crashes best, if there is enough evidence.
 *
 * @param crashes Crashes that no quarantined trait explains.
 * @param soundResponses Sound responses over a trait; `undefined` if there were none.
 * @param explainedByContent Crashes that only quarantined contents explain. A content that
 *   was also in flight at another crash is suspected of them as well, because two such
 *   requests may come together; and a part if it would explain what takes many contents.
 *
 * @example
 * findCrashingTrait(crashes, (trait) => sound.get(trait)) // 'trait-7'
 */
export function findCrashingTrait(
  crashes: readonly ServerCrash[],
  soundResponses: (trait: string) => SoundResponses | undefined,
  explainedByContent: readonly ExplainedCrash[] = [],
): string | undefined {
  const traits = new Set(crashes.flatMap((crash) => [...crash.traits.keys()]))
  const unexplained = sortByTime(crashes)
  const all = sortByTime([...crashes, ...explainedByContent])
  const evidenceOf = (trait: string): readonly ServerCrash[] =>
    isContent(trait) || replacesContents(trait, crashes, explainedByContent)
      ? all
      : unexplained
  const [first, second] = [...traits]
    .map((trait) => createCandidate(trait, evidenceOf(trait), soundResponses(trait)))
    .filter(({ score }) => score >= MIN_SCORE)
    .toSorted(compareCandidates)
  if (!first) return undefined
  const isAmbiguous = second?.score === first.score
  return isAmbiguous && first.score < MIN_AMBIGUOUS_SCORE ? undefined : first.trait
}

/** Whether a part would explain crashes that otherwise take many explanations. */
function replacesContents(
  part: string,
  crashes: readonly ServerCrash[],
  explainedByContent: readonly ExplainedCrash[],
): boolean {
  const hasPart = ({ traits }: ServerCrash): boolean => traits.has(part)
  const contents = explainedByContent.filter(hasPart).flatMap((c) => c.explainedBy)
  const explanations = crashes.filter(hasPart).length + new Set(contents).size
  return explanations >= MIN_REPLACED_EXPLANATIONS
}

function sortByTime(crashes: readonly ServerCrash[]): readonly ServerCrash[] {
  return crashes.toSorted((a, b) => a.atMs - b.atMs)
}

function createCandidate(
  trait: string,
  crashes: readonly ServerCrash[],
  sound: SoundResponses | undefined,
): Candidate {
  const unclearedSinceMs = sound?.latestBeganAtMs ?? Number.NEGATIVE_INFINITY
  const suspected = crashes.filter(
    ({ atMs, traits }) => traits.has(trait) && atMs >= unclearedSinceMs,
  )
  const positions = suspected.map(({ traits }) => traits.get(trait) ?? 0)
  return {
    trait,
    score: countSeparate(suspected) - doubtOf(trait, sound),
    position: Math.max(0, ...positions),
  }
}

function doubtOf(trait: string, sound: SoundResponses | undefined): number {
  if (isContent(trait)) return sound ? REPEATED_CONTENT_DOUBT : 0
  const doubt = DOUBT_PER_POWER_OF_TEN * Math.log10(1 + (sound?.count ?? 0))
  return Math.min(MAX_DOUBT, doubt)
}

/** Number of crashes, of which simultaneous ones count once. */
function countSeparate(sorted: readonly ServerCrash[]): number {
  let count = 0
  let groupStartMs = Number.NEGATIVE_INFINITY
  for (const { atMs } of sorted) {
    if (atMs - groupStartMs < SIMULTANEOUS_MS) continue
    groupStartMs = atMs
    count += 1
  }
  return count
}

/** The best explanation first. A trait further back is shared by fewer requests. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return b.score - a.score || b.position - a.position || (a.trait < b.trait ? -1 : 1)
}
