/**
 * Drives rollouts: starts, raises, promotes, withdraws and undoes them.
 *
 * Every change is a conditional update of the state that was evaluated, so that two
 * nodes can't both make it and a node that resumes late after a pause changes nothing.
 * A withdrawal only stops traffic, so any node may write it; every other change needs
 * the lease.
 */
import { versionKey } from '../config/effective.js'
import type { ObjectStore } from '../platform/objectStore.js'
import type {
  DeclaredRollout,
  StoredRollout,
  RolloutRegistry,
} from './rolloutRegistry.js'
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
  /** Incarnation of this entry instance. */
  readonly self: string
  /** Monotonic clock. */
  readonly clock: () => number
  /** Current evidence epoch. */
  readonly epoch: () => number
  /** Fencing token while this node holds the lease for rollouts, else `undefined`. */
  readonly fence: () => number | undefined
  /** Quality floors by class for a rollout that starts. */
  readonly floors: (rollout: DeclaredRollout) => Record<string, number>
  /** Called when a state that was read or written differs from the previous one. */
  readonly onChange: (state: RolloutState) => void
  /** Called when this node's evidence condemns a version. */
  readonly onCondemned: (key: string) => void
}

/** Maximum attempts to write a withdrawal within one call of `advance`. */
const WITHDRAWAL_ATTEMPTS = 3

/**
 * Runs this node's part of all rollouts; call `poll` and `advance` every few seconds.
 *
 * @example
 * const controller = RolloutController.create(opts)
 * await controller.poll()
 * await controller.advance()
 */
export class RolloutController {
  private constructor(private readonly opts: RolloutControllerOptions) {}

  static create(opts: RolloutControllerOptions): RolloutController {
    return new RolloutController(opts)
  }

  /** Reads the state of every rollout that is declared or still open. */
  async poll(): Promise<void> {
    const { registry } = this.opts
    const due = registry.keys.filter((key) => {
      const state = registry.state(key)
      return registry.declared(key) !== undefined || (state && isOpen(state))
    })
    await Promise.all(due.map((key) => this.#refreshState(key)))
  }

  /**
   * Reads all stored states, including those of rollouts that are no longer declared.
   *
   * @returns Whether the platform returned the list.
   */
  async pollAll(): Promise<boolean> {
    const listed = await this.opts.store.list('status', ROLLOUT_PREFIX)
    if (listed.err) return false
    for (const { revision, value } of listed.val.objects) this.#apply(revision, value)
    return true
  }

  /** Evaluates the evidence and makes the changes that are due. */
  async advance(): Promise<void> {
    const { registry } = this.opts
    registry.evaluate()
    for (const key of registry.keys) {
      const stored = registry.stored(key)
      if (!stored || !isOpen(stored.state)) await this.#start(key, stored)
      else await this.#takeNextStep(key, stored)
    }
  }

  async #takeNextStep(key: string, stored: StoredRollout): Promise<void> {
    const { registry, epoch, self } = this.opts
    const { state } = stored
    const step = nextStep(state, registry.evidence(key))
    if (step?.type === 'withdraw') {
      if (registry.condemn(key)) this.opts.onCondemned(key)
      await this.#withdraw(key, step.reason)
      return
    }
    // A peer condemned the version. This node writes the withdrawal too, because the peer
    // may have failed before writing it.
    if (registry.isWithdrawn(key)) {
      await this.#withdraw(key, 'condemned by another entry instance')
      return
    }
    if (!registry.declared(key) && state.phase === 'running') {
      const reason = 'the roll-out is no longer declared'
      await this.#writeAsHolder(stored, { ...state, phase: 'undone', reason, by: self })
    } else if (step) {
      await this.#writeAsHolder(stored, applyStep(state, step, epoch(), self))
    }
  }

  /** Starts a declared rollout that has no state yet or was undone before. */
  async #start(key: string, stored: StoredRollout | undefined): Promise<void> {
    const { registry, floors, epoch, self } = this.opts
    const declared = registry.declared(key)
    if (!declared || registry.isWithdrawn(key)) return
    const state: RolloutState = {
      model: declared.model,
      from: declared.from,
      to: declared.to,
      generation: (stored?.state.generation ?? 0) + 1,
      phase: 'running',
      stage: 0,
      firstEpoch: epoch(),
      stageEpoch: epoch(),
      exposureBudget: declared.exposureBudget,
      floors: floors(declared),
      fence: stored?.state.fence ?? 0,
      reason: 'declared',
      by: self,
    }
    await this.#writeAsHolder(stored, state)
  }

  /** Writes the withdrawal on top of any other change, unless the rollout is closed. */
  async #withdraw(key: string, reason: string): Promise<void> {
    for (let i = 0; i < WITHDRAWAL_ATTEMPTS; i++) {
      const stored = this.opts.registry.stored(key)
      if (!stored || !isOpen(stored.state)) return
      const { self: by } = this.opts
      const isWritten = await this.#write(stored, {
        ...stored.state,
        phase: 'withdrawn',
        reason,
        by,
      })
      if (isWritten) return
      // Either a conflict or a lost confirmation: reading the object shows which.
      await this.#refreshState(key)
    }
  }

  async #writeAsHolder(
    stored: StoredRollout | undefined,
    state: RolloutState,
  ): Promise<void> {
    // Reads the fencing token right before the write, as the lease may have expired.
    const fence = this.opts.fence()
    if (fence === undefined || fence < state.fence) return
    await this.#write(stored, { ...state, fence })
  }

  async #write(stored: StoredRollout | undefined, state: RolloutState): Promise<boolean> {
    const name = rolloutObject(state.model, state.to)
    const revision = stored?.revision ?? 0
    const written = await this.opts.store.put('status', name, state, revision)
    if (written.err) return false
    this.#apply(written.val.revision, state)
    return true
  }

  async #refreshState(key: string): Promise<void> {
    const { store, registry, clock } = this.opts
    const rollout = registry.declared(key) ?? registry.state(key)
    if (!rollout) return
    const sentAtMs = clock()
    const response = await store.get('status', rolloutObject(rollout.model, rollout.to))
    if (response.err) return
    if (response.val) this.#apply(response.val.revision, response.val.value)
    // The state is at most as old as the call, since the platform read it after the call
    // was sent.
    registry.recordRead(key, clock() - sentAtMs)
  }

  #apply(revision: number, value: unknown): void {
    const parsed = rolloutStateSchema.safeParse(value)
    if (!parsed.success) return
    const state = parsed.data
    const before = this.opts.registry.state(versionKey(state.model, state.to))
    const isNewer = this.opts.registry.applyState(revision, state)
    if (isNewer && JSON.stringify(before) !== JSON.stringify(state)) {
      this.opts.onChange(state)
    }
  }
}
