/** Controls running rollouts: evaluates the new version, decides the next step and stores it. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { LoadTable } from '../placement/serverLoad.js'
import type { ServerTable } from '../servers/serverTable.js'
import { judgeVersion, type Judgement, type VersionVerdict } from './judgeVersion.js'
import { requestsPerSecond } from './observation.js'
import { planRollout, type ExposureLimit, type RolloutStep } from './planRollout.js'
import type { KnownRollout, Rollout, RolloutTable } from './rolloutTable.js'
import type { VersionEvidence } from './versionEvidence.js'

/** Interval between two checks of the running rollouts, in milliseconds. */
export const ROLLOUT_POLL_MS = 250

/**
 * Delay per rank before an entry instance writes a step, in milliseconds. It gives
 * instances with a lower rank time to write first.
 */
const RANK_DELAY_MS = 700

/**
 * Interval between two evaluations of a version for each instance whose observations are
 * evaluated, and its maximum, in milliseconds; limits their cost in a large fleet.
 */
const JUDGE_INTERVAL_MS_PER_INSTANCE = 8
const MAX_JUDGE_INTERVAL_MS = 1_500

export interface RolloutControllerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly rollouts: RolloutTable
  readonly evidence: VersionEvidence
  readonly servers: ServerTable
  readonly load: LoadTable
  readonly exposure: ExposureLimit
  /** Number of entry instances that are alive. */
  readonly instanceCount: () => number
  /** Rank of this entry instance among those that are alive, zero for the first. */
  readonly rank: () => number
  /** Longest time since the order that another entry instance reports, in milliseconds. */
  readonly peerElapsedMs: (service: string, target: string) => number
  /** Stores a rollout unless another entry instance has stored it in the meantime. */
  readonly write: (rollout: Rollout) => Promise<void>
}

interface LastJudgement {
  readonly target: string
  readonly evaluation: Evaluation
  readonly verdict: VersionVerdict
  readonly step: RolloutStep['type']
  /** Since when the version is suspect, on the monotonic clock. */
  readonly suspectSinceMs: number | undefined
  /** Since when all sessions use the version, on the monotonic clock. */
  readonly fullShareSinceMs: number | undefined
}

/** Evaluation of a version's observations. */
interface Evaluation {
  /** On the monotonic clock. */
  readonly atMs: number
  readonly judgement: Judgement
  readonly requestsPerSecond: number | undefined
}

/**
 * Controls rollouts; call `advance` regularly.
 *
 * @example
 * await controller.advance()
 */
export class RolloutController {
  /** When the current step of each service became due, on the monotonic clock. */
  readonly #dueSinceMs = new Map<string, number>()
  /** The last judgement on the running rollout of each service. */
  readonly #lastJudged = new Map<string, LastJudgement>()
  #isAdvancing = false

  private constructor(private readonly opts: RolloutControllerOptions) {}

  static create(opts: RolloutControllerOptions): RolloutController {
    return new RolloutController(opts)
  }

  /** Time since a rollout was ordered, in milliseconds. */
  elapsedMs({ service, target, firstSeenAtMs }: KnownRollout): number {
    const { clock, peerElapsedMs } = this.opts
    return Math.max(clock() - firstSeenAtMs, peerElapsedMs(service, target))
  }

  /**
   * Stops using a version that another instance has withdrawn: what it saw may be lost with
   * the instances that saw it, and the store may be unreachable.
   */
  applyPeerWithdrawal(service: string, target: string, peer: string): void {
    const { rollouts, log } = this.opts
    const rollout = rollouts.get(service)
    if (rollout?.target !== target || rollout.state !== 'running') return
    if (rollouts.isWithdrawn(service, target)) return
    rollouts.withdraw(service, target)
    log('version_withdrawn', { service, target, by: peer })
  }

  /**
   * Advances each running rollout, and stores again what a restored store has lost; does
   * nothing while another call is in progress.
   */
  async advance(): Promise<void> {
    if (this.#isAdvancing) return
    this.#isAdvancing = true
    try {
      const { rollouts } = this.opts
      rollouts.expireMissing()
      for (const rollout of rollouts.outdated())
        await this.#writeWhenDue(rollout, rollout)
      for (const rollout of rollouts.running()) {
        if (rollout.storage !== 'outdated') await this.#advanceRollout(rollout)
      }
      for (const service of this.#dueSinceMs.keys()) {
        const rollout = rollouts.get(service)
        if (rollout?.state !== 'running' && rollout?.storage !== 'outdated')
          this.#dueSinceMs.delete(service)
      }
      for (const service of this.#lastJudged.keys()) {
        if (rollouts.get(service)?.state !== 'running') this.#lastJudged.delete(service)
      }
    } finally {
      this.#isAdvancing = false
    }
  }

  async #advanceRollout(rollout: KnownRollout): Promise<void> {
    const { rollouts, exposure, clock, log } = this.opts
    const { service, target } = rollout
    const { before, after } = this.#serversByVersion(rollout)
    const evaluation = this.#evaluate(rollout, after.length)
    const { judgement } = evaluation
    const wasWithdrawn = rollouts.isWithdrawn(service, target)
    const verdict = wasWithdrawn ? 'bad' : judgement.verdict
    const { suspectSinceMs, fullShareSinceMs } = this.#timesOf(rollout, verdict)
    const step = planRollout({
      elapsedMs: this.elapsedMs(rollout),
      durationMs: rollout.durationMs,
      share: rollout.share,
      exposure,
      requestsPerSecond: evaluation.requestsPerSecond,
      verdict,
      hasBaseline: judgement.hasBaseline || before.length === 0,
      suspectForMs: suspectSinceMs === undefined ? 0 : clock() - suspectSinceMs,
      fullShareForMs: fullShareSinceMs === undefined ? 0 : clock() - fullShareSinceMs,
      runningOnOldVersion: this.#runningRequests(before),
    })
    this.#logJudgement(rollout, verdict, step, judgement)
    this.#lastJudged.set(service, {
      target,
      evaluation,
      verdict,
      step: step.type,
      suspectSinceMs,
      fullShareSinceMs,
    })
    if (step.type === 'wait') {
      this.#dueSinceMs.delete(service)
      return
    }
    if (step.type === 'roll_back' && !wasWithdrawn) {
      rollouts.withdraw(service, target)
      log('version_withdrawn', { service, target, ...judgement })
    }
    if (rollout.storage === 'missing') return
    await this.#writeWhenDue(rollout, rolloutAfter(rollout, step))
  }

  async #writeWhenDue({ service }: KnownRollout, next: Rollout): Promise<void> {
    const { clock, rank, write } = this.opts
    const dueSinceMs = this.#dueSinceMs.get(service) ?? clock()
    this.#dueSinceMs.set(service, dueSinceMs)
    if (clock() - dueSinceMs < rank() * RANK_DELAY_MS) return
    await write(next)
  }

  /** Evaluates a version, or returns the last evaluation if it is recent. */
  #evaluate({ service, target }: KnownRollout, newServerCount: number): Evaluation {
    const { clock, evidence, instanceCount } = this.opts
    const last = this.#lastJudged.get(service)
    const intervalMs = Math.min(
      MAX_JUDGE_INTERVAL_MS,
      instanceCount() * JUDGE_INTERVAL_MS_PER_INSTANCE,
    )
    if (last?.target === target && clock() - last.evaluation.atMs < intervalMs)
      return last.evaluation
    const observations = evidence.observations(service, target)
    return {
      atMs: clock(),
      judgement: judgeVersion(observations, newServerCount),
      requestsPerSecond: requestsPerSecond(observations, evidence.observedForMs),
    }
  }

  /** Since when the version has its verdict and its share, on the monotonic clock. */
  #timesOf(
    { service, target, share }: KnownRollout,
    verdict: VersionVerdict,
  ): Pick<LastJudgement, 'suspectSinceMs' | 'fullShareSinceMs'> {
    const last = this.#lastJudged.get(service)
    const known = last?.target === target ? last : undefined
    const nowMs = this.opts.clock()
    return {
      suspectSinceMs:
        verdict === 'suspect' ? (known?.suspectSinceMs ?? nowMs) : undefined,
      fullShareSinceMs: share >= 1 ? (known?.fullShareSinceMs ?? nowMs) : undefined,
    }
  }

  /** Logs a verdict, and the responses that it is based on, if it or the step changed. */
  #logJudgement(
    rollout: KnownRollout,
    verdict: VersionVerdict,
    step: RolloutStep,
    { worst, counts }: Judgement,
  ): void {
    const { service, target, share, revision } = rollout
    const last = this.#lastJudged.get(service)
    const isKnown =
      last?.target === target && last.verdict === verdict && last.step === step.type
    if (isKnown) return
    const elapsedMs = Math.round(this.elapsedMs(rollout))
    const inputs = { service, target, share, revision, elapsedMs, worst, counts }
    this.opts.log('rollout_judged', { ...inputs, verdict, step: step.type })
  }

  #serversByVersion({ service, target }: KnownRollout) {
    const { servers } = this.opts
    const serviceServers = servers.all().filter((server) => server.service === service)
    return {
      before: serviceServers.filter(({ version }) => version !== target),
      after: serviceServers.filter(({ version }) => version === target),
    }
  }

  #runningRequests(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, { id }) => sum + this.opts.load.total(id).running, 0)
  }
}

function rolloutAfter(rollout: KnownRollout, step: RolloutStep): Rollout {
  switch (step.type) {
    case 'roll_back':
      return { ...rollout, state: 'rolled_back', share: 0 }
    case 'complete':
      return { ...rollout, state: 'completed', share: 1 }
    case 'grow':
      return { ...rollout, share: step.share }
    case 'wait':
      return rollout
  }
}
