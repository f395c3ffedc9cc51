/** Controls running rollouts: evaluates the new version, decides the next step and stores it. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { LoadTable } from '../placement/serverLoad.js'
import type { ServerTable } from '../servers/serverTable.js'
import { judgeVersion, type VersionVerdict } from './judgeVersion.js'
import { planRollout, type RolloutStep } from './planRollout.js'
import type { KnownRollout, Rollout, RolloutTable } from './rolloutTable.js'
import {
  NO_RESPONSES,
  type ResponseCounts,
  type ServerEvidence,
} from './serverEvidence.js'

/** Interval between two checks of the running rollouts, in milliseconds. */
export const ROLLOUT_POLL_MS = 250

/**
 * Delay per rank before an entry instance writes a step, in milliseconds. It gives
 * instances with a lower rank time to write first.
 */
const RANK_DELAY_MS = 700

export interface RolloutControllerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly rollouts: RolloutTable
  readonly evidence: ServerEvidence
  readonly servers: ServerTable
  readonly load: LoadTable
  /** Share of the requests that a bad version may get during the whole rollout. */
  readonly exposureShare: number
  /** Rank of this entry instance among those that are alive, zero for the first. */
  readonly rank: () => number
  /** Longest time since the order that another entry instance reports, in milliseconds. */
  readonly peerElapsedMs: (service: string, target: string) => number
  /** Stores a rollout unless another entry instance has stored it in the meantime. */
  readonly write: (rollout: Rollout) => Promise<void>
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
  /** The last logged judgement of each service, as verdict and step. */
  readonly #lastJudged = new Map<string, string>()
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
    } finally {
      this.#isAdvancing = false
    }
  }

  async #advanceRollout(rollout: KnownRollout): Promise<void> {
    const { rollouts, exposureShare, log } = this.opts
    const { service, target } = rollout
    const { before, after, counts } = this.#serversByVersion(rollout)
    const wasWithdrawn = rollouts.isWithdrawn(service, target)
    const verdict = wasWithdrawn ? 'bad' : judgeVersion(counts(before), counts(after))
    const step = planRollout({
      elapsedMs: this.elapsedMs(rollout),
      durationMs: rollout.durationMs,
      share: rollout.share,
      exposureShare,
      verdict,
      runningOnOldVersion: this.#runningRequests(before),
    })
    this.#logJudgement(rollout, verdict, step, {
      before: sumCounts(counts(before)),
      after: sumCounts(counts(after)),
    })
    if (step.type === 'wait') {
      this.#dueSinceMs.delete(service)
      return
    }
    if (step.type === 'roll_back' && !wasWithdrawn) {
      rollouts.withdraw(service, target)
      log('version_withdrawn', {
        service,
        target,
        before: counts(before),
        after: counts(after),
      })
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

  /** Logs a verdict, and the responses that it is based on, if it or the step changed. */
  #logJudgement(
    rollout: KnownRollout,
    verdict: VersionVerdict,
    step: RolloutStep,
    counts: Readonly<Record<'before' | 'after', ResponseCounts>>,
  ): void {
    const { service, target, share, revision } = rollout
    const judged = `${target} ${verdict} ${step.type}`
    if (this.#lastJudged.get(service) === judged) return
    this.#lastJudged.set(service, judged)
    const elapsedMs = Math.round(this.elapsedMs(rollout))
    const inputs = { service, target, share, revision, elapsedMs }
    this.opts.log('rollout_judged', { ...inputs, verdict, step: step.type, ...counts })
  }

  #serversByVersion({ service, target }: KnownRollout) {
    const { servers, evidence } = this.opts
    const serviceServers = servers.all().filter((server) => server.service === service)
    return {
      before: serviceServers.filter(({ version }) => version !== target),
      after: serviceServers.filter(({ version }) => version === target),
      counts: (list: readonly BackendServer[]) =>
        list.map(({ id }) => evidence.total(id)),
    }
  }

  #runningRequests(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, { id }) => sum + this.opts.load.total(id).running, 0)
  }
}

function sumCounts(counts: readonly ResponseCounts[]): ResponseCounts {
  return counts.reduce(
    (sum, { good, slow, bad, unmeasured }) => ({
      good: sum.good + good,
      slow: sum.slow + slow,
      bad: sum.bad + bad,
      unmeasured: sum.unmeasured + unmeasured,
    }),
    NO_RESPONSES,
  )
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
