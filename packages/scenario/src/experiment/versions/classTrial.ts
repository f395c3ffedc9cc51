/** Half a day of one class under one version policy. */
import {
  ESCALATION_PRIOR,
  EvidenceTable,
  ON_TIME_PRIOR,
  QualityEstimates,
  VirtualClock,
  acceptNonEmpty,
  armPrior,
  type ArmEstimates,
  type Clock,
  type Random,
  type VersionPlan,
  type VersionPolicy,
  type VersionQuery,
} from '@wagtailway/core'
import type { Workload, WorkloadClass } from '../workloads.js'
import { clamp, drawAnswer, normal } from './outputModel.js'
import type { VersionFault } from './faults.js'
import { TruthTable } from './groundTruth.js'

/** A policy, or one that is told the truth. */
export type TrialPolicy =
  | { readonly type: 'policy'; readonly create: (clock: Clock) => VersionPolicy }
  | { readonly type: 'oracle' }

export interface ClassTrialOptions {
  readonly workload: Workload
  readonly workloadClass: WorkloadClass
  readonly fault: VersionFault
  readonly policy: TrialPolicy
  readonly random: Random
}

/** What a class's requests got. */
export interface ClassOutcome {
  readonly requests: number
  readonly cost: number
  readonly quality: number
  readonly onTime: number
  readonly windows: number
  /** Windows below the target although some arm would have met it. */
  readonly missed: number
}

const DURATION_MS = 12 * 3_600_000
const WINDOW_MS = 600_000
/** Requests a second of a class of weight one. */
const BASE_RATE = 0.25
const MS_PER_SECOND = 1_000
const RATING_SAMPLE = 0.2
/** Part of the requested ratings that never come. */
const RATING_MISSING = 0.1
/** Standard deviation of a rating's error. */
const RATING_NOISE = 0.1

interface PendingRating {
  readonly dueMs: number
  readonly key: string
  readonly score: number
}

/**
 * Runs one class; its evidence is its own, so classes need not run together.
 *
 * @example
 * runClass({ workload, workloadClass, fault, policy, random }).cost
 */
export function runClass(opts: ClassTrialOptions): ClassOutcome {
  const { workloadClass, fault, random } = opts
  const { cls, key: classKey } = workloadClass
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({ source: 'node', clock: clock.now })
  const estimates = QualityEstimates.create({ evidence })
  const truths = TruthTable.of(workloadClass)
  const query = createQuery(opts, estimates)
  const policy = opts.policy.type === 'policy' ? opts.policy.create(clock.now) : undefined
  const totals = { requests: 0, cost: 0, quality: 0, onTime: 0 }
  const windows = WindowCount.create(cls.quality.target)
  let pending: PendingRating[] = []
  const stepMs = MS_PER_SECOND / (BASE_RATE * workloadClass.weight)
  for (; clock.now() < DURATION_MS; clock.advance(stepMs)) {
    const nowMs = clock.now()
    pending = deliver(pending, nowMs)
    const qualities = fault.qualitiesAt(opts.workload, nowMs)
    const plan = policy ? choosePlan(policy, query) : truths.oracleArm(qualities)
    const answer = drawAnswer(plan, qualities, cls.quality.target, random)
    const isOnTime = answer.firstTokenMs <= cls.latency.firstTokenMs
    const truth = truths.truth(plan, qualities)
    totals.requests += 1
    totals.cost += answer.cost
    totals.quality += truth.quality
    totals.onTime += isOnTime ? 1 : 0
    windows.add(Math.floor(nowMs / WINDOW_MS), truth.quality, truths.canMeet(qualities))
    estimates.add('onTime', classKey, plan.key, isOnTime ? 1 : 0)
    if (plan.steps.length > 1) {
      estimates.add('escalated', classKey, plan.key, answer.hasEscalated ? 1 : 0)
    }
    rate(plan, answer.quality, nowMs)
  }
  return { ...totals, ...windows.count() }

  function rate(plan: VersionPlan, quality: number, nowMs: number): void {
    const sample = plan.isTrial ? 1 : RATING_SAMPLE
    if (random() >= sample * (1 - RATING_MISSING) || fault.isLostAt(nowMs)) return
    const dueMs = nowMs - fault.delayMs * Math.log(1 - random())
    pending.push({ dueMs, key: plan.key, score: drawScore(quality) })
  }

  function drawScore(quality: number): number {
    if (fault.isCoarse) return random() < quality ? 1 : 0
    return clamp(quality + RATING_NOISE * normal(random))
  }

  function deliver(ratings: PendingRating[], nowMs: number): PendingRating[] {
    if (!ratings.some(({ dueMs }) => dueMs <= nowMs)) return ratings
    for (const { dueMs, key, score } of ratings) {
      if (dueMs <= nowMs) estimates.add('quality', classKey, key, score)
    }
    return ratings.filter(({ dueMs }) => dueMs > nowMs)
  }
}

function choosePlan(policy: VersionPolicy, query: VersionQuery): VersionPlan {
  const plan = policy(query)
  if (!plan) throw new Error('The policy chose no version.')
  return plan
}

function createQuery(
  { workloadClass, random }: ClassTrialOptions,
  estimates: QualityEstimates,
): VersionQuery {
  return {
    cls: workloadClass.cls,
    candidates: workloadClass.candidates,
    estimate: (arm): ArmEstimates => ({
      quality: estimates.estimate('quality', workloadClass.key, arm.key, armPrior(arm)),
      onTime: estimates.estimate('onTime', workloadClass.key, arm.key, ON_TIME_PRIOR),
      escalated: estimates.estimate(
        'escalated',
        workloadClass.key,
        arm.key,
        ESCALATION_PRIOR,
      ),
    }),
    hasBackend: () => true,
    accepts: acceptNonEmpty,
    random,
  }
}

/** Mean true quality by window. */
class WindowCount {
  readonly #windows = new Map<number, { sum: number; count: number; canMeet: boolean }>()

  private constructor(private readonly target: number) {}

  static create(target: number): WindowCount {
    return new WindowCount(target)
  }

  add(window: number, quality: number, canMeet: boolean): void {
    const known = this.#windows.get(window) ?? { sum: 0, count: 0, canMeet: true }
    known.sum += quality
    known.count += 1
    known.canMeet &&= canMeet
    this.#windows.set(window, known)
  }

  count(): { windows: number; missed: number } {
    const all = [...this.#windows.values()]
    const missed = all.filter((w) => w.canMeet && w.sum / w.count < this.target)
    return { windows: all.length, missed: missed.length }
  }
}
