/** This node's view of all rollouts, which the request path reads. */
import type { Clock } from '../clock.js'
import { versionKey, type EffectiveConfig } from '../config/effective.js'
import type { EvidenceTable } from '../quality/evidenceTable.js'
import {
  addExposure,
  addRating,
  classEvidence,
  type ClassEvidence,
} from './rolloutEvidence.js'
import { isOpen, rolloutKey, type RolloutState } from './rolloutState.js'
import { needsAllRatings, shareOf } from './rolloutSteps.js'

export type DeclaredRollout = EffectiveConfig['rollouts'][number]

export interface RolloutRegistryOptions {
  readonly evidence: EvidenceTable
  /** Monotonic clock. */
  readonly clock: Clock
  /**
   * Maximum age of the last successful read of a rollout's state, in milliseconds. Beyond
   * it, the new version gets no new requests.
   * @default 10_000
   */
  readonly maxStateAgeMs?: number
}

/** A rollout's state as stored in the platform, with its revision. */
export interface StoredRollout {
  readonly revision: number
  readonly state: RolloutState
}

interface Entry {
  declared: DeclaredRollout | undefined
  stored: StoredRollout | undefined
  stateReadAtMs: number
  evaluatedAtMs: number
  /** Whether this node's evidence or a peer calls for the withdrawal of the version. */
  isCondemned: boolean
  evidence: readonly ClassEvidence[]
}

const DEFAULT_MAX_STATE_AGE_MS = 10_000

/** Maximum age of the evidence that counts for a promoted version, in epochs; four hours. */
const PROMOTED_WINDOW_EPOCHS = 480

/**
 * Minimum time between evaluations of a rollout that has lasted longer than
 * {@link PROMOTED_WINDOW_EPOCHS}, in milliseconds.
 */
const LONG_EVALUATION_INTERVAL_MS = 5_000

/**
 * Rollouts by the key of their new version.
 *
 * @example
 * const registry = RolloutRegistry.create({ evidence, clock: monotonicClock })
 * registry.declare(effective.rollouts)
 * registry.share('summariser@v2') // 0 until the state has been read
 */
export class RolloutRegistry {
  readonly #entries = new Map<string, Entry>()

  private constructor(private readonly opts: RolloutRegistryOptions) {}

  static create(opts: RolloutRegistryOptions): RolloutRegistry {
    return new RolloutRegistry(opts)
  }

  /** Replaces the set of declared rollouts. */
  declare(rollouts: readonly DeclaredRollout[]): void {
    for (const entry of this.#entries.values()) entry.declared = undefined
    for (const rollout of rollouts) {
      this.#entry(versionKey(rollout.model, rollout.to)).declared = rollout
    }
  }

  /**
   * Applies a state read from the platform if its revision is newer; returns whether it
   * is.
   */
  applyState(revision: number, state: RolloutState): boolean {
    const entry = this.#entry(versionKey(state.model, state.to))
    if (revision <= (entry.stored?.revision ?? 0)) return false
    entry.stored = { revision, state }
    this.#evaluateEntry(entry)
    return true
  }

  /**
   * Records that the platform returned the rollout's state as of `ageMs` milliseconds
   * ago.
   */
  recordRead(key: string, ageMs: number): void {
    const entry = this.#entry(key)
    entry.stateReadAtMs = Math.max(entry.stateReadAtMs, this.opts.clock() - ageMs)
  }

  /**
   * Stops traffic to a version before its withdrawal is stored in the platform.
   *
   * @returns Whether the version was not condemned before.
   */
  condemn(key: string): boolean {
    const entry = this.#entry(key)
    const isNew = !entry.isCondemned
    entry.isCondemned = true
    return isNew
  }

  /** Recomputes the evidence of the rollouts that are due for evaluation. */
  evaluate(): void {
    for (const entry of this.#entries.values()) {
      if (this.#isEvaluationDue(entry)) this.#evaluateEntry(entry)
    }
  }

  /** Counts a response of a version under rollout. */
  recordExposure(key: string, classKey: string): void {
    const state = this.state(key)
    if (!state || !isOpen(state)) return
    addExposure(this.opts.evidence, rolloutKey(state), classKey)
  }

  /** Counts a rating of a response of a version under rollout. */
  recordRating(key: string, classKey: string, score: number): void {
    const state = this.state(key)
    const floor = state?.floors[classKey]
    if (!state || floor === undefined || !isOpen(state)) return
    addRating(this.opts.evidence, rolloutKey(state), classKey, { score, floor })
  }

  /** Keys of all versions for which this node has ever seen a rollout. */
  get keys(): string[] {
    return [...this.#entries.keys()]
  }

  stored(key: string): StoredRollout | undefined {
    return this.#entries.get(key)?.stored
  }

  state(key: string): RolloutState | undefined {
    return this.stored(key)?.state
  }

  declared(key: string): DeclaredRollout | undefined {
    return this.#entries.get(key)?.declared
  }

  evidence(key: string): readonly ClassEvidence[] {
    return this.#entries.get(key)?.evidence ?? []
  }

  /** Whether the version is withdrawn, or condemned and about to be withdrawn. */
  isWithdrawn(key: string): boolean {
    const entry = this.#entries.get(key)
    if (!entry) return false
    return entry.isCondemned || entry.stored?.state.phase === 'withdrawn'
  }

  /** Whether the version gets new requests only through a declared rollout. */
  isUnderRollout(key: string): boolean {
    return this.#entries.get(key)?.declared !== undefined
  }

  /** The declared rollout that replaces a version, if any. */
  rolloutReplacing(key: string): DeclaredRollout | undefined {
    for (const { declared } of this.#entries.values()) {
      if (declared && versionKey(declared.model, declared.from) === key) return declared
    }
    return undefined
  }

  /** Whether the last successful read of the state is recent enough to send requests. */
  isFresh(key: string): boolean {
    const entry = this.#entries.get(key)
    if (!entry) return false
    const ageMs = this.opts.clock() - entry.stateReadAtMs
    return ageMs <= (this.opts.maxStateAgeMs ?? DEFAULT_MAX_STATE_AGE_MS)
  }

  /** Fraction of new requests that the version may get now. */
  share(key: string): number {
    const entry = this.#entries.get(key)
    if (!entry?.stored || this.isWithdrawn(key)) return 0
    if (!this.isFresh(key)) return 0
    return shareOf(entry.stored.state, entry.evidence)
  }

  /** Whether all responses of the version should be rated. */
  needsAllRatings(key: string): boolean {
    const entry = this.#entries.get(key)
    return Boolean(entry?.stored && needsAllRatings(entry.stored.state, entry.evidence))
  }

  #entry(key: string): Entry {
    const entry = this.#entries.get(key) ?? emptyEntry()
    this.#entries.set(key, entry)
    return entry
  }

  /** Limits how often a long rollout is evaluated, because evaluating it takes longer. */
  #isEvaluationDue({ stored, evaluatedAtMs }: Entry): boolean {
    const startEpoch = stored?.state.firstEpoch ?? 0
    const isLong = this.opts.evidence.epoch - startEpoch > PROMOTED_WINDOW_EPOCHS
    return !isLong || this.opts.clock() - evaluatedAtMs >= LONG_EVALUATION_INTERVAL_MS
  }

  #evaluateEntry(entry: Entry): void {
    entry.evaluatedAtMs = this.opts.clock()
    const state = entry.stored?.state
    if (!state || !isOpen(state)) {
      entry.evidence = []
      return
    }
    const { evidence } = this.opts
    const { firstEpoch, stageEpoch } = state
    const rollout = rolloutKey(state)
    entry.evidence = Object.entries(state.floors).map(([classKey, floor]) =>
      classEvidence({
        evidence,
        rollout,
        classKey,
        floor,
        firstEpoch,
        stageEpoch,
        ...(state.phase === 'promoted' && { maxAgeEpochs: PROMOTED_WINDOW_EPOCHS }),
      }),
    )
  }
}

function emptyEntry(): Entry {
  return {
    declared: undefined,
    stored: undefined,
    stateReadAtMs: Number.NEGATIVE_INFINITY,
    evaluatedAtMs: Number.NEGATIVE_INFINITY,
    isCondemned: false,
    evidence: [],
  }
}
