/** Leads running roll-outs: judges, decides and has the state written. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { LoadTable } from '../placement/serverLoad.js'
import type { ServerTable } from '../servers/serverTable.js'
import { isBadVersion } from './judgeVersion.js'
import { planRollout, type RolloutStep } from './planRollout.js'
import type { KnownRollout, Rollout, RolloutTable } from './rolloutTable.js'
import type { ServerEvidence } from './serverEvidence.js'

/** Pause between two looks at the running roll-outs, in milliseconds. */
export const ROLLOUT_POLL_MS = 250

/** Time by which each further entry instance waits longer for those before it, in milliseconds. */
const RANK_DELAY_MS = 700

export interface RolloutConductorOptions {
  readonly clock: Clock
  readonly log: Log
  readonly book: RolloutTable
  readonly evidence: ServerEvidence
  readonly servers: ServerTable
  readonly load: LoadTable
  readonly exposureShare: number
  /** Place of this entry instance among those that are alive, zero for the first. */
  readonly rank: () => number
  /** Longest time since the order that another entry instance knows of, in milliseconds. */
  readonly elapsedElsewhereMs: (service: string, target: string) => number
  /** Writes a state if nobody has written another one meanwhile. */
  readonly write: (rollout: Rollout) => Promise<void>
}

/**
 * Conducts roll-outs; call {@link advance} regularly.
 *
 * @example
 * await conductor.look()
 */
export class RolloutController {
  readonly #dueSinceMs = new Map<string, number>()
  #isBusy = false

  private constructor(private readonly opts: RolloutConductorOptions) {}

  static create(opts: RolloutConductorOptions): RolloutController {
    return new RolloutController(opts)
  }

  /** Time since a roll-out's order, in milliseconds. */
  elapsedMs({ service, target, firstSeenAtMs: firstSeenAtMs }: KnownRollout): number {
    const { clock, elapsedElsewhereMs: peerElapsedMs } = this.opts
    return Math.max(clock() - firstSeenAtMs, peerElapsedMs(service, target))
  }

  /** Takes the next step of each running roll-out. */
  async advance(): Promise<void> {
    if (this.#isBusy) return
    this.#isBusy = true
    try {
      for (const rollout of this.opts.book.running()) await this.#conduct(rollout)
    } finally {
      this.#isBusy = false
    }
  }

  async #conduct(rollout: KnownRollout): Promise<void> {
    const { book, exposureShare, log, rank, clock, write } = this.opts
    const { service, target } = rollout
    const { before, after, counts } = this.#servers(rollout)
    const wasWithdrawn = book.isWithdrawn(service, target)
    const step = planRollout({
      elapsedMs: this.elapsedMs(rollout),
      durationMs: rollout.durationMs,
      share: rollout.share,
      exposureShare,
      isBad: wasWithdrawn || isBadVersion(counts(before), counts(after)),
      oldRunning: this.#running(before),
    })
    if (step.type === 'wait') {
      this.#dueSinceMs.delete(service)
      return
    }
    if (step.type === 'roll_back' && !wasWithdrawn) {
      book.withdraw(service, target)
      log('version_withdrawn', {
        service,
        target,
        before: counts(before),
        after: counts(after),
      })
    }
    const since = this.#dueSinceMs.get(service) ?? clock()
    this.#dueSinceMs.set(service, since)
    if (clock() - since < rank() * RANK_DELAY_MS) return
    await write(next(rollout, step))
  }

  #servers({ service, target }: KnownRollout) {
    const { servers, evidence } = this.opts
    const all = servers.all().filter((server) => server.service === service)
    return {
      before: all.filter(({ version }) => version !== target),
      after: all.filter(({ version }) => version === target),
      counts: (list: readonly BackendServer[]) =>
        list.map(({ id }) => evidence.total(id)),
    }
  }

  #running(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, { id }) => sum + this.opts.load.total(id).running, 0)
  }
}

function next(rollout: KnownRollout, step: RolloutStep): Rollout {
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
