/** Crashes of backend servers and sound responses, as seen by all entry instances. */
import type { Clock } from '@wagtailway/core'
import type { ServerCrash, SoundResponses } from './findCrashingTrait.js'
import { isContent } from './requestTrait.js'

/** Time for which a crash is evidence, in milliseconds. */
const CRASH_TTL_MS = 60_000

/** Maximum number of crashes that are kept; the oldest are removed first. */
const MAX_CRASHES = 64

/** Maximum number of traits of one crash that this process reports. */
const MAX_TRAITS_PER_CRASH = 48

/** Maximum number of crashes in one report; the newest are reported. */
const MAX_REPORTED_CRASHES = 8

/** Maximum number of traits with sound responses in one report. */
const MAX_REPORTED_SOUND = 64

/**
 * Maximum number of prompt parts, and of contents, whose sound responses are remembered; the
 * oldest go first.
 */
const MAX_SOUND_PARTS = 4_096
const MAX_SOUND_CONTENTS = 1_024

/**
 * Time for which reports repeat a crash, in milliseconds, so that it also reaches instances
 * that lost or missed some reports.
 */
const REPORTED_MS = 12_000

/** A crash as one entry instance reports it. */
export interface ReportedCrash {
  readonly incarnation: string
  readonly ageMs: number
  readonly traits: ReadonlyMap<string, number>
}

/** Sound responses over a trait as one entry instance reports them. */
export interface ReportedSound {
  readonly trait: string
  /** Time since the latest of them began, in milliseconds. */
  readonly ageMs: number
  readonly count: number
}

interface KnownCrash {
  atMs: number
  readonly traits: Map<string, number>
  /** What this process itself saw; only this is reported. */
  own: ServerCrash | undefined
}

/**
 * Evidence of this process, together with what other entry instances report.
 *
 * @example
 * evidence.recordCrash('s1 0', new Map([['trait-7', 1]]))
 * evidence.recordSound(['trait-3'], clock())
 * findCrashingTrait(evidence.crashes(), (trait) => evidence.sound(trait))
 */
export class CrashEvidence {
  /** By incarnation of the server, the oldest record first. */
  readonly #crashes = new Map<string, KnownCrash>()
  /** By prompt part, the one with the oldest record first. */
  readonly #ownSoundParts = new Map<string, SoundResponses>()
  /** The same by content, apart because nearly every request has another one. */
  readonly #ownSoundContents = new Map<string, SoundResponses>()
  readonly #peerSound = new Map<string, ReadonlyMap<string, SoundResponses>>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashEvidence {
    return new CrashEvidence(clock)
  }

  /** Whether this process has recorded the crash of this incarnation itself. */
  hasOwnCrash(incarnation: string): boolean {
    return this.#crashes.get(incarnation)?.own !== undefined
  }

  /**
   * Records a crash that this process saw.
   *
   * @param traits Positions of the traits in flight that may be at fault.
   */
  recordCrash(incarnation: string, traits: ReadonlyMap<string, number>): void {
    const nowMs = this.clock()
    const crash = this.#put(incarnation, nowMs, traits)
    const reported = [...traits].slice(0, MAX_TRAITS_PER_CRASH)
    crash.own ??= { atMs: nowMs, traits: new Map(reported) }
  }

  /** Records a response that went on after it had begun, over these traits. */
  recordSound(traits: readonly string[], beganAtMs: number): void {
    for (const trait of traits) {
      const ownSound = this.#ownSoundOf(trait)
      const previous = ownSound.get(trait)
      ownSound.delete(trait)
      ownSound.set(trait, {
        latestBeganAtMs: Math.max(beganAtMs, previous?.latestBeganAtMs ?? beganAtMs),
        count: (previous?.count ?? 0) + 1,
      })
    }
    removeOldest(this.#ownSoundParts, MAX_SOUND_PARTS)
    removeOldest(this.#ownSoundContents, MAX_SOUND_CONTENTS)
  }

  /**
   * Applies what another entry instance saw itself; returns whether it adds a crash, or a
   * trait to one.
   */
  applyReport(
    peer: string,
    crashes: readonly ReportedCrash[],
    sound: readonly ReportedSound[],
  ): boolean {
    const nowMs = this.clock()
    let hasNews = false
    for (const { incarnation, ageMs, traits } of crashes) {
      if (traits.size === 0) continue
      const partCount = this.#crashes.get(incarnation)?.traits.size
      const crash = this.#put(incarnation, nowMs - ageMs, traits)
      hasNews ||= crash.traits.size !== partCount
    }
    const byPart = sound.map(({ trait, ageMs, count }): [string, SoundResponses] => [
      trait,
      { latestBeganAtMs: nowMs - ageMs, count },
    ])
    if (byPart.length > 0) this.#peerSound.set(peer, new Map(byPart))
    else this.#peerSound.delete(peer)
    return hasNews
  }

  /** All known crashes. */
  crashes(): ServerCrash[] {
    this.#removeOld()
    return [...this.#crashes.values()]
  }

  /** Sound responses over a trait at all instances; `undefined` if none is known. */
  sound(trait: string): SoundResponses | undefined {
    const all = [this.#ownSoundOf(trait), ...this.#peerSound.values()].flatMap(
      (sound) => sound.get(trait) ?? [],
    )
    if (all.length === 0) return undefined
    return {
      latestBeganAtMs: Math.max(...all.map(({ latestBeganAtMs }) => latestBeganAtMs)),
      count: all.reduce((sum, { count }) => sum + count, 0),
    }
  }

  /** When the latest crash with a trait in flight happened; `undefined` if none is known. */
  latestCrashAtMs(trait: string): number | undefined {
    const times = this.crashes().flatMap(({ atMs, traits }) =>
      traits.has(trait) ? atMs : [],
    )
    return times.length > 0 ? Math.max(...times) : undefined
  }

  /** Crashes that this process saw itself, for its reports to peers. */
  get reportedCrashes(): ReportedCrash[] {
    const nowMs = this.clock()
    const reported = [...this.#crashes].flatMap(([incarnation, { own }]) =>
      own && nowMs - own.atMs < REPORTED_MS
        ? { incarnation, ageMs: nowMs - own.atMs, traits: own.traits }
        : [],
    )
    return reported.slice(-MAX_REPORTED_CRASHES)
  }

  /** Sound responses of this process over the traits that are suspected most anywhere. */
  get reportedSound(): ReportedSound[] {
    const nowMs = this.clock()
    const crashCounts = new Map<string, number>()
    for (const { traits } of this.crashes()) {
      for (const trait of traits.keys())
        crashCounts.set(trait, (crashCounts.get(trait) ?? 0) + 1)
    }
    return [...crashCounts]
      .toSorted(([, a], [, b]) => b - a)
      .flatMap(([trait]) => {
        const sound = this.#ownSoundOf(trait).get(trait)
        return sound
          ? { trait, ageMs: nowMs - sound.latestBeganAtMs, count: sound.count }
          : []
      })
      .slice(0, MAX_REPORTED_SOUND)
  }

  /** Removes what instances reported that are not alive. */
  retainPeers(alive: ReadonlySet<string>): void {
    for (const peer of this.#peerSound.keys())
      if (!alive.has(peer)) this.#peerSound.delete(peer)
  }

  #ownSoundOf(trait: string): Map<string, SoundResponses> {
    return isContent(trait) ? this.#ownSoundContents : this.#ownSoundParts
  }

  #put(
    incarnation: string,
    atMs: number,
    traits: ReadonlyMap<string, number>,
  ): KnownCrash {
    const known = this.#crashes.get(incarnation)
    const crash = known ?? { atMs, traits: new Map<string, number>(), own: undefined }
    // Each instance notices the same crash a little later than it happened.
    crash.atMs = Math.min(crash.atMs, atMs)
    for (const [trait, position] of traits) crash.traits.set(trait, position)
    if (!known) this.#crashes.set(incarnation, crash)
    return crash
  }

  #removeOld(): void {
    const oldestMs = this.clock() - CRASH_TTL_MS
    for (const [incarnation, { atMs }] of this.#crashes) {
      if (atMs >= oldestMs && this.#crashes.size <= MAX_CRASHES) return
      this.#crashes.delete(incarnation)
    }
  }
}

function removeOldest(sound: Map<string, SoundResponses>, maxCount: number): void {
  for (const oldest of sound.keys()) {
    if (sound.size <= maxCount) return
    sound.delete(oldest)
  }
}
