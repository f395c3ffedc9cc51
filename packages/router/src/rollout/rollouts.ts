/** Roll-outs at one entry instance: states, evidence and withdrawals, kept moving. */
import {
  EvidenceTable,
  Lease,
  ROLLOUT_RETENTION_EPOCHS,
  ROLLOUT_EPOCH_MS,
  RolloutRegistry,
  RolloutController,
  Ticker,
  evidenceSubject,
  rendezvous,
  rolloutFloors,
  rolloutKey,
  versionKey,
  wallClock,
  type Clock,
  type ConfigHolder,
  type LatestValues,
  type MemberTable,
  type ObjectStore,
  type QualityEstimates,
  type RolloutState,
} from '@wagtailway/core'
import type { Log } from '../log.js'
import type { RouterMetrics } from '../metrics.js'
import { EvidenceSpread } from './evidenceGossip.js'

export interface RolloutsOptions {
  readonly store: ObjectStore
  readonly config: ConfigHolder
  readonly members: MemberTable
  readonly values: LatestValues
  readonly estimates: QualityEstimates
  /** Evidence of the estimates, spread along with that of roll-outs. */
  readonly qualityEvidence: EvidenceTable
  readonly incarnation: string
  readonly node: string
  /** Monotonic clock. */
  readonly clock: Clock
  readonly metrics: RouterMetrics
  readonly log: Log
}

/** Pause between two steps, in milliseconds. */
const STEP_MS = 1_000

/** Steps from one look at the platform to the next. */
const POLL_STEPS = 3

/** Steps between two looks at every state there is. */
const POLL_ALL_STEPS = 60

/** Steps between two publications of quality evidence, which is not urgent. */
const QUALITY_STEPS = 15

/** Instances that contend for the lease; the others need not ask for it. */
const CONTENDERS = 2

/** Time for which the lease holds, in milliseconds. */
const LEASE_MS = 15_000

/** Key under which condemned versions travel between instances. */
const CONDEMNED_PREFIX = 'condemned '

/**
 * Keeps roll-outs moving; requests ask its board.
 *
 * @example
 * const rollouts = Rollouts.create(opts)
 * rollouts.board.share('summariser@v2')
 * await rollouts.close()
 */
export class Rollouts {
  readonly board: RolloutRegistry
  readonly #evidence: EvidenceTable
  readonly #controller: RolloutController
  readonly #lease: Lease
  readonly #spread: EvidenceSpread
  readonly #qualitySpread: EvidenceSpread
  readonly #ticker: Ticker
  #steps = 0
  #revision = 0
  #isListed = false

  private constructor(private readonly opts: RolloutsOptions) {
    const { store, clock, incarnation, values, log } = opts
    this.#evidence = EvidenceTable.create({
      source: incarnation,
      clock: wallClock,
      epochMs: ROLLOUT_EPOCH_MS,
      epochsKept: ROLLOUT_RETENTION_EPOCHS,
      cellEpochsKept: 20,
    })
    const evidence = this.#evidence
    this.board = RolloutRegistry.create({ evidence, clock })
    this.#spread = EvidenceSpread.create({ evidence, values, incarnation })
    this.#qualitySpread = EvidenceSpread.create({
      evidence: opts.qualityEvidence,
      values,
      incarnation,
    })
    this.#lease = Lease.create({
      store,
      name: 'rollouts',
      holder: incarnation,
      leaseMs: LEASE_MS,
      clock,
    })
    this.#controller = this.#createController()
    this.#ticker = Ticker.create({
      intervalMs: STEP_MS,
      step: () => this.#step(),
      onError: (err) => {
        log.error('roll-outs were not moved on', err)
      },
    })
  }

  static create(opts: RolloutsOptions): Rollouts {
    return new Rollouts(opts)
  }

  /** Takes over the roll-outs of a new configuration before requests see it. */
  refresh(): void {
    const { config } = this.opts
    if (!config.current || config.revision === this.#revision) return
    this.#revision = config.revision
    this.board.declare(config.current.effective.rollouts)
  }

  async close(): Promise<void> {
    await this.#ticker.close()
    await this.#lease.release()
  }

  #createController(): RolloutController {
    const { opts, board } = this
    return RolloutController.create({
      store: opts.store,
      registry: board,
      self: opts.incarnation,
      clock: opts.clock,
      epoch: () => this.#evidence.epoch,
      fence: () => this.#lease.fence,
      floors: (rollout) => {
        const index = opts.config.current
        if (!index) return {}
        return rolloutFloors(index, rollout, (classKey, key, expected) => {
          return opts.estimates.estimate('quality', classKey, key, expected).longTerm.mean
        })
      },
      onChange: (state) => {
        this.#changed(state)
      },
      onCondemned: (key) => {
        this.#condemned(key)
      },
    })
  }

  async #step(): Promise<void> {
    const { members } = this.opts
    this.refresh()
    this.#exchangeEvidence()
    const isPollDue = this.#steps % POLL_STEPS === 0
    const isListDue = this.#isListed ? this.#steps % POLL_ALL_STEPS === 0 : isPollDue
    if (isListDue) this.#isListed = (await this.#controller.pollAll()) || this.#isListed
    if (isPollDue) await this.#controller.poll()
    if (isPollDue && this.board.keys.length > 0 && this.#isContender(members)) {
      await this.#lease.poll()
    }
    await this.#controller.advance()
    this.#setGauges()
    this.#steps += 1
  }

  #exchangeEvidence(): void {
    const { values } = this.opts
    this.#spread.publish()
    this.#spread.receive(this.#rolloutSubjects())
    for (const key of this.board.keys) {
      if (values.getAll(CONDEMNED_PREFIX + key).length > 0) this.board.condemn(key)
    }
    if (this.#steps % QUALITY_STEPS !== 0) return
    this.#qualitySpread.publish()
    this.#qualitySpread.receive(this.#qualitySubjects())
  }

  #rolloutSubjects(): string[] {
    return this.board.keys.flatMap((key) => {
      const state = this.board.state(key)
      if (!state) return []
      return Object.keys(state.floors).map((classKey) =>
        evidenceSubject(rolloutKey(state), classKey),
      )
    })
  }

  #qualitySubjects(): string[] {
    const index = this.opts.config.current
    if (!index) return []
    return index.effective.classes.flatMap((cls) =>
      index
        .allowedVersions(cls)
        .map(({ key }) => `quality ${cls.workspace}/${cls.name} ${key}`),
    )
  }

  /** A few instances contend, the same ones wherever the members are seen alike. */
  #isContender(members: MemberTable): boolean {
    const self = this.opts.node
    const nodes = [self, ...members.alive().map(({ node }) => node)]
    return rendezvous('rollouts', nodes, (node) => node)
      .slice(0, CONTENDERS)
      .includes(self)
  }

  #changed(state: RolloutState): void {
    const { phase, stage, reason, by, generation } = state
    const rollout = `${versionKey(state.model, state.from)} to ${state.to}`
    this.opts.metrics.rolloutChanges.inc({ phase })
    this.opts.log.info('roll-out changed', {
      rollout,
      phase,
      stage,
      reason,
      by,
      generation,
    })
  }

  #condemned(key: string): void {
    const { values, incarnation, metrics, log } = this.opts
    metrics.rolloutChanges.inc({ phase: 'condemned' })
    log.warn('version condemned by its ratings', { version: key })
    values.publish({
      key: CONDEMNED_PREFIX + key,
      incarnation,
      version: 1,
      value: 'true',
    })
  }

  #setGauges(): void {
    for (const key of this.board.keys) {
      this.opts.metrics.rolloutShare.set({ version: key }, this.board.share(key))
    }
  }
}
