/** Runs the rollouts at one entry instance: their states, evidence and withdrawals. */
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
import { EvidenceGossip } from './evidenceGossip.js'

export interface RolloutsOptions {
  readonly store: ObjectStore
  readonly config: ConfigHolder
  readonly members: MemberTable
  readonly values: LatestValues
  readonly estimates: QualityEstimates
  /** Evidence behind the quality estimates, gossiped along with that of rollouts. */
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

/** Steps between two polls of the states of known rollouts and of the lease. */
const POLL_STEPS = 3

/** Steps between two reads of all stored states, once a first such read has succeeded. */
const POLL_ALL_STEPS = 60

/** Steps between two exchanges of quality evidence, which is not urgent. */
const QUALITY_GOSSIP_STEPS = 15

/** Number of instances that contend for the lease; the others need not request it. */
const LEASE_CONTENDERS = 2

/** Validity of the lease, in milliseconds. */
const LEASE_MS = 15_000

/** Prefix of the keys under which condemned versions are gossiped between instances. */
const CONDEMNED_PREFIX = 'condemned '

/**
 * Advances rollouts; requests query its registry.
 *
 * @example
 * const rollouts = Rollouts.create(opts)
 * rollouts.registry.share('summariser@v2')
 * await rollouts.close()
 */
export class Rollouts {
  readonly registry: RolloutRegistry
  readonly #evidence: EvidenceTable
  readonly #controller: RolloutController
  readonly #lease: Lease
  readonly #rolloutGossip: EvidenceGossip
  readonly #qualityGossip: EvidenceGossip
  readonly #ticker: Ticker
  #steps = 0
  #revision = 0
  #hasPolledAll = false

  private constructor(private readonly opts: RolloutsOptions) {
    const { store, clock, incarnation, values, log } = opts
    this.#evidence = EvidenceTable.create({
      source: incarnation,
      clock: wallClock,
      epochMs: ROLLOUT_EPOCH_MS,
      retentionEpochs: ROLLOUT_RETENTION_EPOCHS,
      cellRetentionEpochs: 20,
    })
    const evidence = this.#evidence
    this.registry = RolloutRegistry.create({ evidence, clock })
    this.#rolloutGossip = EvidenceGossip.create({ evidence, values, incarnation })
    this.#qualityGossip = EvidenceGossip.create({
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

  /** Declares the rollouts of a new configuration before requests use it. */
  applyConfig(): void {
    const { config } = this.opts
    if (!config.current || config.revision === this.#revision) return
    this.#revision = config.revision
    this.registry.declare(config.current.effective.rollouts)
  }

  async close(): Promise<void> {
    await this.#ticker.close()
    await this.#lease.release()
  }

  #createController(): RolloutController {
    const { opts, registry } = this
    return RolloutController.create({
      store: opts.store,
      registry,
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
        this.#reportChange(state)
      },
      onCondemned: (key) => {
        this.#publishCondemned(key)
      },
    })
  }

  async #step(): Promise<void> {
    const { members } = this.opts
    this.applyConfig()
    this.#gossipEvidence()
    const isPollDue = this.#steps % POLL_STEPS === 0
    const isPollAllDue = this.#hasPolledAll
      ? this.#steps % POLL_ALL_STEPS === 0
      : isPollDue
    if (isPollAllDue)
      this.#hasPolledAll = (await this.#controller.pollAll()) || this.#hasPolledAll
    if (isPollDue) await this.#controller.poll()
    if (isPollDue && this.registry.keys.length > 0 && this.#isContender(members)) {
      await this.#lease.poll()
    }
    await this.#controller.advance()
    this.#setGauges()
    this.#steps += 1
  }

  #gossipEvidence(): void {
    const { values } = this.opts
    this.#rolloutGossip.publish()
    this.#rolloutGossip.applyPublished(this.#rolloutSubjects())
    for (const key of this.registry.keys) {
      if (values.getAll(CONDEMNED_PREFIX + key).length > 0) this.registry.condemn(key)
    }
    if (this.#steps % QUALITY_GOSSIP_STEPS !== 0) return
    this.#qualityGossip.publish()
    this.#qualityGossip.applyPublished(this.#qualitySubjects())
  }

  #rolloutSubjects(): string[] {
    return this.registry.keys.flatMap((key) => {
      const state = this.registry.state(key)
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

  /**
   * Whether this instance contends for the lease. Instances with the same view of the members
   * select the same contenders.
   */
  #isContender(members: MemberTable): boolean {
    const self = this.opts.node
    const nodes = [self, ...members.alive().map(({ node }) => node)]
    return rendezvous('rollouts', nodes, (node) => node)
      .slice(0, LEASE_CONTENDERS)
      .includes(self)
  }

  #reportChange(state: RolloutState): void {
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

  #publishCondemned(key: string): void {
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
    for (const key of this.registry.keys) {
      this.opts.metrics.rolloutShare.set({ version: key }, this.registry.share(key))
    }
  }
}
