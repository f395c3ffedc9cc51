/**
 * Traits whose requests get no backend server, because servers crash under them.
 *
 * The state of a trait only ever moves on by its generation, so that entry instances and the
 * store can be merged in any order. A quarantined trait may be probed a few times in all: the
 * right to one probe is a conditional write to the store.
 */
import type { Clock } from '@wagtailway/core'
import { isContent } from './requestTrait.js'

/** Maximum number of traits; the one that changed first is removed first. */
const MAX_TRAITS = 64

/** Time without a request from which a quarantine ends, in milliseconds. */
const UNUSED_TTL_MS = 3_600_000

/**
 * Delays before the probes of a quarantined prompt part, and of a content, in milliseconds. A
 * probe that fails costs a server, so there are no more than these.
 */
const PART_PROBE_DELAYS_MS: readonly number[] = [60_000, 600_000]
const CONTENT_PROBE_DELAYS_MS: readonly number[] = [600_000]

/** Time within which a claimed probe must be sent, in milliseconds. */
const PROBE_TTL_MS = 10_000

/**
 * Highest generation that is believed. Far above it a number no longer changes by one, and a trait
 * could be neither quarantined nor released.
 */
const MAX_GENERATION = 1_000_000_000

/** State of one trait, as instances and the store exchange it. */
export interface TraitState {
  readonly trait: string
  /** Rises by one with each change; the trait is quarantined while it is odd. */
  readonly generation: number
  /** Number of probes that were claimed in this generation. */
  readonly probes: number
}

/** State of a trait, with the use of it at the instance that reports it. */
export interface ReportedTraitState extends TraitState {
  /** Time since that instance last refused a request with it; `undefined` if never. */
  readonly refusedAgeMs: number | undefined
}

interface KnownTrait {
  state: TraitState
  changedAtMs: number
  /** Last refusal at any instance. */
  lastRefusedAtMs: number
  lastOwnRefusalAtMs: number | undefined
  /** Until when the next request with the trait may go to a server. */
  probeUntilMs: number | undefined
}

/**
 * States of the traits known to this process.
 *
 * @example
 * quarantine.quarantine('trait-7')
 * quarantine.admit(['trait-3', 'trait-7']) // 'trait-7'
 */
export class TraitQuarantine {
  readonly #known = new Map<string, KnownTrait>()

  private constructor(
    private readonly clock: Clock,
    private readonly onChange: (state: TraitState, reason: string) => void,
  ) {}

  /** @param onChange Called with each new generation of a trait, and what caused it. */
  static create(
    clock: Clock,
    onChange: (state: TraitState, reason: string) => void,
  ): TraitQuarantine {
    return new TraitQuarantine(clock, onChange)
  }

  /** All states, for the store. */
  get states(): TraitState[] {
    return [...this.#known.values()].map(({ state }) => state)
  }

  /** All states, for reports to peers. */
  get reportedStates(): ReportedTraitState[] {
    const nowMs = this.clock()
    return [...this.#known.values()].map(({ state, lastOwnRefusalAtMs }) => ({
      ...state,
      refusedAgeMs:
        lastOwnRefusalAtMs === undefined ? undefined : nowMs - lastOwnRefusalAtMs,
    }))
  }

  /** Ids of all quarantined traits. */
  get quarantined(): string[] {
    return this.states.filter(isQuarantined).map(({ trait }) => trait)
  }

  /** When this process learned the state of a trait, on the monotonic clock. */
  changedAtMs(trait: string): number {
    return this.#known.get(trait)?.changedAtMs ?? this.clock()
  }

  /** Quarantined traits whose state this process learned after a time. */
  changedSince(sinceMs: number): string[] {
    return [...this.#known].flatMap(([trait, { state, changedAtMs }]) =>
      isQuarantined(state) && changedAtMs > sinceMs ? trait : [],
    )
  }

  has(trait: string): boolean {
    const known = this.#known.get(trait)
    return known !== undefined && isQuarantined(known.state)
  }

  /**
   * Returns the quarantined trait that keeps a request from being sent; `undefined` if there
   * is none. Uses up the probes of the request's traits.
   */
  admit(traits: readonly string[]): string | undefined {
    if (this.#known.size === 0) return undefined
    const nowMs = this.clock()
    const quarantined = traits.flatMap((trait) => {
      const known = this.#known.get(trait)
      return known && isQuarantined(known.state) ? known : []
    })
    const refusing = quarantined.find(
      ({ probeUntilMs }) => probeUntilMs === undefined || probeUntilMs < nowMs,
    )
    if (!refusing) {
      for (const known of quarantined) known.probeUntilMs = undefined
      return undefined
    }
    refusing.lastRefusedAtMs = nowMs
    refusing.lastOwnRefusalAtMs = nowMs
    return refusing.state.trait
  }

  quarantine(trait: string, reason: string): void {
    if (!this.has(trait)) this.#advance(trait, reason)
  }

  release(trait: string, reason: string): void {
    if (this.has(trait)) this.#advance(trait, reason)
  }

  /** Releases traits that no instance has had a request with for long. */
  releaseUnused(): void {
    const oldestMs = this.clock() - UNUSED_TTL_MS
    for (const [trait, { state, changedAtMs, lastRefusedAtMs }] of this.#known) {
      if (Math.max(changedAtMs, lastRefusedAtMs) >= oldestMs) continue
      if (isQuarantined(state)) this.release(trait, 'unused')
      else this.#known.delete(trait)
    }
  }

  /** Applies states from another instance or the store. */
  merge(states: readonly (TraitState & Partial<ReportedTraitState>)[]): void {
    const nowMs = this.clock()
    for (const { trait, generation, probes, refusedAgeMs } of states) {
      if (!isBelievable(generation)) continue
      const known = this.#known.get(trait)
      if (isNewer({ trait, generation, probes }, known?.state)) {
        this.#set({ trait, generation, probes })
        if (generation !== known?.state.generation)
          this.onChange({ trait, generation, probes }, 'told')
      }
      const merged = this.#known.get(trait)
      if (merged && refusedAgeMs !== undefined)
        merged.lastRefusedAtMs = Math.max(merged.lastRefusedAtMs, nowMs - refusedAgeMs)
    }
  }

  /** The state of a trait if it is due for a probe that nobody has claimed yet. */
  dueForProbe(trait: string): TraitState | undefined {
    const known = this.#known.get(trait)
    if (!known || !isQuarantined(known.state)) return undefined
    const delays = isContent(trait) ? CONTENT_PROBE_DELAYS_MS : PART_PROBE_DELAYS_MS
    const delayMs = delays[known.state.probes]
    if (delayMs === undefined || this.clock() - known.changedAtMs < delayMs)
      return undefined
    return known.state
  }

  /** Lets the next request with a trait through once, after its probe was claimed. */
  allowProbe(trait: string): void {
    const known = this.#known.get(trait)
    if (known && isQuarantined(known.state))
      known.probeUntilMs = this.clock() + PROBE_TTL_MS
  }

  #advance(trait: string, reason: string): void {
    const generation = (this.#known.get(trait)?.state.generation ?? 0) + 1
    const state = { trait, generation, probes: 0 }
    this.#set(state)
    this.onChange(state, reason)
  }

  #set(state: TraitState): void {
    const known = this.#known.get(state.trait)
    const nowMs = this.clock()
    this.#known.delete(state.trait)
    this.#known.set(state.trait, {
      state,
      changedAtMs: nowMs,
      lastRefusedAtMs: known?.lastRefusedAtMs ?? nowMs,
      lastOwnRefusalAtMs: known?.lastOwnRefusalAtMs,
      probeUntilMs: undefined,
    })
    for (const oldest of this.#known.keys()) {
      if (this.#known.size <= MAX_TRAITS) return
      this.#known.delete(oldest)
    }
  }
}

function isBelievable(generation: number): boolean {
  return Number.isInteger(generation) && generation >= 0 && generation <= MAX_GENERATION
}

/** Whether a state means that the trait is quarantined. */
export function isQuarantined({ generation }: TraitState): boolean {
  return generation % 2 === 1
}

/** Whether a state has moved on further than the known one. */
export function isNewer(state: TraitState, known: TraitState | undefined): boolean {
  if (!known) return true
  if (state.generation !== known.generation) return state.generation > known.generation
  return state.probes > known.probes
}
