/** Admission of one service's requests at one instance. */
import type { Clock, Random } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import type { ServerLoad } from '../placement/serverLoad.js'
import { DecayingCounts } from './decayingCounts.js'
import {
  DEMOTION,
  EXCESS_RANK,
  admitChance,
  decideAdmission,
  nextShedLevels,
  type AdmissionDecision,
  type ServicePressure,
  type ShedGroup,
  type ShedLevels,
} from './decideAdmission.js'
import { excessPart } from './workspaceShare.js'

/**
 * Interval at which loads are added up, in milliseconds: not for each request, as the sum
 * runs over all servers.
 */
const REFRESH_MS = 100

/** Age from which loads of other instances are not used, in milliseconds. */
const MAX_AGE_MS = 1_500

/**
 * Time for which servers must be overloaded before requests are refused, in milliseconds: what
 * queues in a shorter burst is served before the shortest targets, 1.5 s.
 */
const BURST_MS = 1_000

/** Longest time that one step of the shed level stands for, in milliseconds. */
const MAX_STEP_MS = 1_000

/** Time constant of the parts of priorities in all requests, in milliseconds. */
const RANKS_RECENT_MS = 4_000

/**
 * Time constant of the parts of workspaces, in milliseconds: longer, because an instance that
 * gets one request a second meets few of each workspace in 4 s.
 */
const WORKSPACES_RECENT_MS = 10_000

/** Priorities beyond this one are refused like it. */
const LOWEST_PRIORITY = 9

export interface ServiceAdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  readonly servers: () => readonly BackendServer[]
  /** Load of a server from all instances, and from this one. */
  readonly loadOf: (serverId: string) => ServerLoad
  readonly ownLoadOf: (serverId: string) => ServerLoad | undefined
  /** Number of instances that send requests, this one included. */
  readonly instanceCount: () => number
  /** Age of what other instances told of their loads; `undefined` if nothing is known. */
  readonly loadsAgeMs: () => number | undefined
}

/** What is known of a request before it is sent. */
export interface AdmissionRequest {
  /** Name of the workspace; empty without workspaces. */
  readonly workspace: string
  /** Zero is the most urgent. */
  readonly priority: number
}

/** A decision with the facts that it was made from. */
export interface Admitted {
  readonly decision: AdmissionDecision
  readonly pressure: ServicePressure
  readonly admitted: number
  readonly excess: number
}

/**
 * Keeps what admission is decided from: the shed level, and recent requests by priority and
 * workspace. Each instance meets a sample of all requests, so its own requests tell these
 * parts; how full the servers are is told by the loads of all.
 *
 * @example
 * const admission = ServiceAdmission.create(options)
 * admission.decide({ workspace: 'kebele', priority: 2 }).decision.type // 'send'
 */
export class ServiceAdmission {
  readonly #byRank: DecayingCounts
  readonly #byWorkspace: DecayingCounts
  #pressure: ServicePressure = {
    occupancy: 0,
    meanWaitMs: 0,
    demotedWaitMs: 0,
    ageMs: undefined,
  }
  #levels: ShedLevels = { all: 0, excess: 0 }
  #refreshedAtMs = Number.NEGATIVE_INFINITY
  /** Since when each look at the loads has shown an overload. */
  #overloadedSinceMs: number | undefined

  private constructor(private readonly opts: ServiceAdmissionOptions) {
    this.#byRank = DecayingCounts.create(opts.clock, RANKS_RECENT_MS)
    this.#byWorkspace = DecayingCounts.create(opts.clock, WORKSPACES_RECENT_MS)
  }

  static create(opts: ServiceAdmissionOptions): ServiceAdmission {
    return new ServiceAdmission(opts)
  }

  /** Decides on a request, and counts it. */
  decide({ workspace, priority }: AdmissionRequest): Admitted {
    this.#refresh()
    this.#byWorkspace.add(workspace, 1)
    const excess = excessPart(this.#byWorkspace.entries(), workspace)
    const rank = 1 + LOWEST_PRIORITY - Math.min(LOWEST_PRIORITY, priority)
    this.#byRank.add(String(EXCESS_RANK), excess)
    this.#byRank.add(String(rank), 1 - excess)
    const pressure = this.#pressure
    const admitted = Math.exp(-this.#levels.all)
    const groups = admitted < 1 ? this.#groups() : []
    const decision = decideAdmission(
      {
        pressure,
        admitted,
        excess,
        priority,
        chance: admitChance(groups, rank, admitted),
        excessChance: Math.min(
          Math.exp(-this.#levels.excess),
          admitChance(groups, EXCESS_RANK, admitted),
        ),
        isLeastUrgent: isLowestRank(groups, rank),
      },
      this.opts.random,
    )
    return { decision, pressure, admitted, excess }
  }

  #groups(): ShedGroup[] {
    const entries = this.#byRank.entries()
    const total = entries.reduce((sum, [, amount]) => sum + amount, 0)
    return entries.map(([rank, amount]) => ({ rank: Number(rank), part: amount / total }))
  }

  #refresh(): void {
    const nowMs = this.opts.clock()
    const elapsedMs = nowMs - this.#refreshedAtMs
    if (elapsedMs < REFRESH_MS) return
    this.#refreshedAtMs = nowMs
    this.#pressure = this.#measurePressure()
    const stepMs = Math.min(MAX_STEP_MS, elapsedMs)
    const next = nextShedLevels(this.#levels, this.#pressure, stepMs)
    const isRising = next.all > this.#levels.all || next.excess > this.#levels.excess
    if (!isRising) this.#overloadedSinceMs = undefined
    else this.#overloadedSinceMs ??= nowMs
    if (nowMs - (this.#overloadedSinceMs ?? nowMs) < BURST_MS && isRising) return
    this.#levels = next
  }

  #measurePressure(): ServicePressure {
    const { servers, loadOf, ownLoadOf, loadsAgeMs, instanceCount } = this.opts
    let running = 0
    let ownRunning = 0
    let slots = 0
    let waitMs = 0
    let demotedWaitMs = 0
    const all = servers()
    for (const server of all) {
      const load = loadOf(server.id)
      running += load.running
      ownRunning += ownLoadOf(server.id)?.running ?? 0
      slots += server.slots
      for (const [urgency, ms] of load.waitingMs.entries()) {
        waitMs += ms
        if (urgency >= DEMOTION) demotedWaitMs += ms
      }
    }
    const ageMs = loadsAgeMs()
    // While nothing is known of the others, they count as loaded like this instance.
    const isBlind = ageMs === undefined || ageMs > MAX_AGE_MS
    const estimate = isBlind ? ownRunning * instanceCount() : running
    const count = Math.max(1, all.length)
    return {
      occupancy: slots > 0 ? Math.max(running, estimate) / slots : 0,
      meanWaitMs: waitMs / count,
      demotedWaitMs: demotedWaitMs / count,
      ageMs,
    }
  }
}

/** Whether requests of higher ranks are recent and none of lower ranks, except those in excess. */
function isLowestRank(groups: readonly ShedGroup[], rank: number): boolean {
  const ranks = groups.map((group) => group.rank).filter((r) => r !== EXCESS_RANK)
  return ranks.some((r) => r > rank) && ranks.every((r) => r >= rank)
}
