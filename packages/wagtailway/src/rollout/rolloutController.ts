/**
 * Moves roll-outs on: begins, raises, promotes, withdraws, undoes.
 *
 * Every change is a conditional update on the state that was judged, so that two
 * nodes can't both make it and a node that wakes late changes nothing. Withdrawing
 * only ever stops traffic, so any node may do it; everything else needs the lease.
 */
import { versionKey } from '../config/effective.js'
import type { ObjectStore } from '../platform/objectStore.js'
import type { DeclaredRollout, KnownRollout, RolloutRegistry } from './rolloutRegistry.js'
import {
  ROLLOUT_PREFIX,
  isOpen,
  rolloutObject,
  rolloutStateSchema,
  type RolloutState,
} from './rolloutState.js'
import { applyStep, nextStep } from './rolloutSteps.js'

export interface RolloutControllerOptions {
  readonly store: ObjectStore
  readonly registry: RolloutRegistry
  /** This incarnation. */
  readonly self: string
  /** Monotonic clock. */
  readonly clock: () => number
  /** Evidence epoch now. */
  readonly epoch: () => number
  /** Fencing number while this node holds the lease of the roll-outs, else `undefined`. */
  readonly fence: () => number | undefined
  /** Quality floors by class for a roll-out that begins. */
  readonly floors: (rollout: DeclaredRollout) => Record<string, number>
  /** Called when a state that was read or written differs from the one before. */
  readonly onChange: (state: RolloutState) => void
  /** Called when this node's evidence condemns a version. */
  readonly onCondemned: (key: string) => void
}

/** Attempts to write a withdrawal in one step. */
const WITHDRAWAL_ATTEMPTS = 3

/**
 * One node's part in all roll-outs; call `poll` and `act` every few seconds.
 *
 * @example
 * const controller = RolloutController.create(opts)
 * await controller.poll()
 * await controller.act()
 */
export class RolloutController {
  private constructor(private readonly opts: RolloutControllerOptions) {}

  static create(opts: RolloutControllerOptions): RolloutController {
    return new RolloutController(opts)
  }

  /** Reads the state of every roll-out that is declared or still open. */
  async poll(): Promise<void> {
    const { registry: registry } = this.opts
    const due = registry.keys.filter((key) => {
      const state = registry.state(key)
      return registry.declared(key) !== undefined || (state && isOpen(state))
    })
    await Promise.all(due.map((key) => this.#look(key)))
  }

  /**
   * Reads every state there is, also those of roll-outs no longer declared.
   *
   * @returns Whether the platform answered.
   */
  async pollAll(): Promise<boolean> {
    const listed = await this.opts.store.list('status', ROLLOUT_PREFIX)
    if (listed.err) return false
    for (const { revision, value } of listed.val.objects) this.#offer(revision, value)
    return true
  }

  /** Judges the evidence and makes the changes that are due. */
  async advance(): Promise<void> {
    const { registry: registry } = this.opts
    registry.judge()
    for (const key of registry.keys) {
      const known = registry.known(key)
      if (!known || !isOpen(known.state)) await this.#begin(key, known)
      else await this.#moveOn(key, known)
    }
  }

  async #moveOn(key: string, known: KnownRollout): Promise<void> {
    const { registry: registry, epoch, self } = this.opts
    const { state } = known
    const step = nextStep(state, registry.evidence(key))
    if (step?.type === 'withdraw') {
      if (registry.condemn(key)) this.opts.onCondemned(key)
      await this.#withdraw(key, step.reason)
      return
    }
    // A peer's condemnation stops this node too; the peer may not have come to write it.
    if (registry.isWithdrawn(key)) {
      await this.#withdraw(key, 'condemned by another entry instance')
      return
    }
    if (!registry.declared(key) && state.phase === 'running') {
      const reason = 'the roll-out is no longer declared'
      await this.#writeAsHolder(known, { ...state, phase: 'undone', reason, by: self })
    } else if (step) {
      await this.#writeAsHolder(known, applyStep(state, step, epoch(), self))
    }
  }

  /** Begins a roll-out that is declared and has no state, or was undone before. */
  async #begin(key: string, known: KnownRollout | undefined): Promise<void> {
    const { registry: registry, floors, epoch, self } = this.opts
    const declared = registry.declared(key)
    if (!declared || registry.isWithdrawn(key)) return
    const state: RolloutState = {
      model: declared.model,
      from: declared.from,
      to: declared.to,
      generation: (known?.state.generation ?? 0) + 1,
      phase: 'running',
      stage: 0,
      firstEpoch: epoch(),
      stageEpoch: epoch(),
      exposureBudget: declared.exposureBudget,
      floors: floors(declared),
      fence: known?.state.fence ?? 0,
      reason: 'declared',
      by: self,
    }
    await this.#writeAsHolder(known, state)
  }

  /** Writes the withdrawal whatever else has changed, unless the roll-out has ended. */
  async #withdraw(key: string, reason: string): Promise<void> {
    for (let i = 0; i < WITHDRAWAL_ATTEMPTS; i++) {
      const known = this.opts.registry.known(key)
      if (!known || !isOpen(known.state)) return
      const { self: by } = this.opts
      const isWritten = await this.#write(known, {
        ...known.state,
        phase: 'withdrawn',
        reason,
        by,
      })
      if (isWritten) return
      // A conflict, or a confirmation that was lost: the object tells which.
      await this.#look(key)
    }
  }

  async #writeAsHolder(
    known: KnownRollout | undefined,
    state: RolloutState,
  ): Promise<void> {
    // Asked last, right before the write.
    const fence = this.opts.fence()
    if (fence === undefined || fence < state.fence) return
    await this.#write(known, { ...state, fence })
  }

  async #write(known: KnownRollout | undefined, state: RolloutState): Promise<boolean> {
    const name = rolloutObject(state.model, state.to)
    const revision = known?.revision ?? 0
    const written = await this.opts.store.put('status', name, state, revision)
    if (written.err) return false
    this.#offer(written.val.revision, state)
    return true
  }

  async #look(key: string): Promise<void> {
    const { store, registry: registry, clock } = this.opts
    const rollout = registry.declared(key) ?? registry.state(key)
    if (!rollout) return
    const sentAtMs = clock()
    const read = await store.get('status', rolloutObject(rollout.model, rollout.to))
    if (read.err) return
    if (read.val) this.#offer(read.val.revision, read.val.value)
    // The platform looked no earlier than when the call was sent.
    registry.confirm(key, clock() - sentAtMs)
  }

  #offer(revision: number, value: unknown): void {
    const parsed = rolloutStateSchema.safeParse(value)
    if (!parsed.success) return
    const state = parsed.data
    const before = this.opts.registry.state(versionKey(state.model, state.to))
    const isNew = this.opts.registry.offer(revision, state)
    if (isNew && JSON.stringify(before) !== JSON.stringify(state)) {
      this.opts.onChange(state)
    }
  }
}
