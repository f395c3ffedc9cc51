/** Keeps the quarantined prompt parts in the store, so that they outlive all instances. */
import { callOwned, type Clock } from '@wagtailway/core'
import { describeError, type Log } from '../observe/log.js'
import type { CrashQuarantine } from '../quarantine/crashQuarantine.js'
import { isNewer, type TraitState } from '../quarantine/traitQuarantine.js'
import type { StorePort } from './storePort.js'

/** Interval between two checks for states to read or write, in milliseconds. */
const POLL_MS = 1_000

/**
 * Delay per rank before an instance writes, in milliseconds; the first one usually spares
 * the others the write.
 */
const RANK_DELAY_MS = 1_000

/** Only so many instances write, in case the first ones fail. */
const WRITER_COUNT = 3

export interface QuarantineStoreOptions {
  readonly clock: Clock
  readonly log: Log
  readonly store: Pick<StorePort<unknown>, 'readTraitStates' | 'writeTraitStates'>
  readonly quarantine: CrashQuarantine
  /** Rank of this entry instance among those that are alive, zero for the first. */
  readonly rank: () => number
}

/**
 * Reads the states once at the start, and writes them after each change.
 *
 * @example
 * const quarantineStore = QuarantineStore.create(options)
 * quarantineStore.requestWrite()
 * quarantineStore.close()
 */
export class QuarantineStore {
  #isRead = false
  #isBusy = false
  /** Since when the store may lack a state; `undefined` if it has them all. */
  #outdatedSinceMs: number | undefined
  readonly #timer: NodeJS.Timeout

  private constructor(private readonly opts: QuarantineStoreOptions) {
    const { quarantine } = opts
    quarantine.onStatesChanged = () => {
      this.requestWrite()
    }
    quarantine.onProbeDue = (state) => {
      this.#exclusively(() => this.#claimProbe(state))
    }
    this.#timer = setInterval(() => {
      this.#exclusively(() => this.#synchronize())
    }, POLL_MS)
    this.#exclusively(() => this.#synchronize())
  }

  static create(opts: QuarantineStoreOptions): QuarantineStore {
    return new QuarantineStore(opts)
  }

  /** Makes sure that the store has the states that this process knows. */
  requestWrite(): void {
    this.#outdatedSinceMs ??= this.opts.clock()
  }

  close(): void {
    clearInterval(this.#timer)
  }

  #exclusively(action: () => Promise<void>): void {
    if (this.#isBusy) return
    this.#isBusy = true
    callOwned('store call', 'quarantine', action)
      .catch((err: unknown) => {
        this.opts.log('quarantine_failed_inside', { err: describeError(err) })
      })
      .finally(() => {
        this.#isBusy = false
      })
  }

  async #synchronize(): Promise<void> {
    const { clock, rank, quarantine } = this.opts
    if (this.#isRead && this.#outdatedSinceMs === undefined) return
    const isDue =
      this.#outdatedSinceMs !== undefined &&
      rank() < WRITER_COUNT &&
      clock() - this.#outdatedSinceMs >= rank() * RANK_DELAY_MS
    if (this.#isRead && !isDue) return
    const stored = await this.#read()
    if (!stored) return
    this.#isRead = true
    const storedByTrait = new Map(stored.states.map((state) => [state.trait, state]))
    const { states } = quarantine.traits
    const isOutdated = states.some((state) =>
      isNewer(state, storedByTrait.get(state.trait)),
    )
    if (!isOutdated) this.#outdatedSinceMs = undefined
    else if (isDue && (await this.#write(states, stored.revision)))
      this.#outdatedSinceMs = undefined
  }

  /** Takes the right to one probe, unless another instance has taken it. */
  async #claimProbe(state: TraitState): Promise<void> {
    const { quarantine, log } = this.opts
    const stored = await this.#read()
    if (!stored) return
    const current = quarantine.traits.states.find(({ trait }) => trait === state.trait)
    if (current?.generation !== state.generation || current.probes !== state.probes)
      return
    const claimed = { ...state, probes: state.probes + 1 }
    const states = quarantine.traits.states.map((known) =>
      known.trait === state.trait ? claimed : known,
    )
    if (!(await this.#write(states, stored.revision))) return
    quarantine.traits.merge([claimed])
    quarantine.traits.allowProbe(state.trait)
    const { trait: part, ...counts } = claimed
    log('part_probe_claimed', { part, ...counts })
  }

  async #read(): Promise<
    { states: readonly TraitState[]; revision: number | undefined } | undefined
  > {
    const read = await this.opts.store.readTraitStates()
    if (read.err) {
      this.opts.log('quarantine_store_failed', { call: 'read', ...read.val })
      return undefined
    }
    this.opts.quarantine.traits.merge(read.val.states)
    return read.val
  }

  async #write(
    states: readonly TraitState[],
    revision: number | undefined,
  ): Promise<boolean> {
    const written = await this.opts.store.writeTraitStates(states, revision)
    const outcome = written.ok ? 'written' : written.val.type
    this.opts.log('quarantine_stored', { parts: states.length, revision, outcome })
    return written.ok
  }
}
