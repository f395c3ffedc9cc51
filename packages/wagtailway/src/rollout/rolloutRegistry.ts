/** What this node knows of all roll-outs, for requests to ask. */
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
   * Age of the newest look at a state beyond which its version gets nothing, in milliseconds.
   * @default 10_000
   */
  readonly freshMs?: number
}

/** A state as it stands in the platform. */
export interface KnownRollout {
  readonly revision: number
  readonly state: RolloutState
}

interface Entry {
  declared: DeclaredRollout | undefined
  known: KnownRollout | undefined
  lookedAtMs: number
  judgedAtMs: number
  /** Whether this node's evidence, or a peer, calls for the withdrawal. */
  isCondemned: boolean
  evidence: readonly ClassEvidence[]
}

const DEFAULT_FRESH_MS = 10_000

/** Epochs of a promoted version that are judged; four hours. */
const WATCHED_EPOCHS = 480

/** Pause between judgements of a roll-out longer than that, in milliseconds. */
const LONG_JUDGEMENT_MS = 5_000

/**
 * Roll-outs by the key of their new version.
 *
 * @example
 * const board = RolloutBoard.create({ evidence, clock: monotonicClock })
 * board.declare(effective.rollouts)
 * board.share('summariser@v2') // 0 until the state is known
 */
export class RolloutRegistry {
  readonly #entries = new Map<string, Entry>()

  private constructor(private readonly opts: RolloutRegistryOptions) {}

  static create(opts: RolloutRegistryOptions): RolloutRegistry {
    return new RolloutRegistry(opts)
  }

  /** Takes over the declared roll-outs. */
  declare(rollouts: readonly DeclaredRollout[]): void {
    for (const entry of this.#entries.values()) entry.declared = undefined
    for (const rollout of rollouts) {
      this.#entry(versionKey(rollout.model, rollout.to)).declared = rollout
    }
  }

  /** Takes a state from the platform if it is newer; returns whether it was. */
  offer(revision: number, state: RolloutState): boolean {
    const entry = this.#entry(versionKey(state.model, state.to))
    if (revision <= (entry.known?.revision ?? 0)) return false
    entry.known = { revision, state }
    this.#judge(entry)
    return true
  }

  /** Notes that the platform was asked `ageMs` ago. */
  confirm(key: string, ageMs: number): void {
    const entry = this.#entry(key)
    entry.lookedAtMs = Math.max(entry.lookedAtMs, this.opts.clock() - ageMs)
  }

  /** Stops sending to a version before its withdrawal stands in the platform. */
  condemn(key: string): boolean {
    const entry = this.#entry(key)
    const isNew = !entry.isCondemned
    entry.isCondemned = true
    return isNew
  }

  /** Sums up the evidence anew. */
  judge(): void {
    for (const entry of this.#entries.values()) {
      if (this.#isJudgementDue(entry)) this.#judge(entry)
    }
  }

  /** Counts an answer of a version under roll-out. */
  recordExposure(key: string, classKey: string): void {
    const state = this.state(key)
    if (!state || !isOpen(state)) return
    addExposure(this.opts.evidence, rolloutKey(state), classKey)
  }

  /** Counts a rating of a version under roll-out. */
  recordRating(key: string, classKey: string, score: number): void {
    const state = this.state(key)
    const floor = state?.floors[classKey]
    if (!state || floor === undefined || !isOpen(state)) return
    addRating(this.opts.evidence, rolloutKey(state), classKey, { score, floor })
  }

  /** Keys of all versions that were ever under roll-out here. */
  get keys(): string[] {
    return [...this.#entries.keys()]
  }

  known(key: string): KnownRollout | undefined {
    return this.#entries.get(key)?.known
  }

  state(key: string): RolloutState | undefined {
    return this.known(key)?.state
  }

  declared(key: string): DeclaredRollout | undefined {
    return this.#entries.get(key)?.declared
  }

  evidence(key: string): readonly ClassEvidence[] {
    return this.#entries.get(key)?.evidence ?? []
  }

  /** Whether the version was withdrawn, or is about to be. */
  isWithdrawn(key: string): boolean {
    const entry = this.#entries.get(key)
    if (!entry) return false
    return entry.isCondemned || entry.known?.state.phase === 'withdrawn'
  }

  /** Whether only the roll-out may give the version new requests. */
  isUnderRollout(key: string): boolean {
    return this.#entries.get(key)?.declared !== undefined
  }

  /** The roll-out that replaces a version, if one is declared. */
  rolloutReplacing(key: string): DeclaredRollout | undefined {
    for (const { declared } of this.#entries.values()) {
      if (declared && versionKey(declared.model, declared.from) === key) return declared
    }
    return undefined
  }

  /** Whether the platform was asked for the state not long ago. */
  isFresh(key: string): boolean {
    const entry = this.#entries.get(key)
    if (!entry) return false
    const ageMs = this.opts.clock() - entry.lookedAtMs
    return ageMs <= (this.opts.freshMs ?? DEFAULT_FRESH_MS)
  }

  /** Part of the new requests that the version may get now. */
  share(key: string): number {
    const entry = this.#entries.get(key)
    if (!entry?.known || this.isWithdrawn(key)) return 0
    if (!this.isFresh(key)) return 0
    return shareOf(entry.known.state, entry.evidence)
  }

  /** Whether all answers of the version should be rated. */
  needsAllRatings(key: string): boolean {
    const entry = this.#entries.get(key)
    return Boolean(entry?.known && needsAllRatings(entry.known.state, entry.evidence))
  }

  #entry(key: string): Entry {
    const entry = this.#entries.get(key) ?? emptyEntry()
    this.#entries.set(key, entry)
    return entry
  }

  /** A long roll-out takes longer to judge, so it is judged less often. */
  #isJudgementDue({ known, judgedAtMs }: Entry): boolean {
    const first = known?.state.firstEpoch ?? 0
    const isLong = this.opts.evidence.epoch - first > WATCHED_EPOCHS
    return !isLong || this.opts.clock() - judgedAtMs >= LONG_JUDGEMENT_MS
  }

  #judge(entry: Entry): void {
    entry.judgedAtMs = this.opts.clock()
    const state = entry.known?.state
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
        ...(state.phase === 'promoted' && { epochs: WATCHED_EPOCHS }),
      }),
    )
  }
}

function emptyEntry(): Entry {
  return {
    declared: undefined,
    known: undefined,
    lookedAtMs: Number.NEGATIVE_INFINITY,
    judgedAtMs: Number.NEGATIVE_INFINITY,
    isCondemned: false,
    evidence: [],
  }
}
