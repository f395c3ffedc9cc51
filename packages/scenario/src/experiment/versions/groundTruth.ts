/** True averages of the arms of one class, and the arm that an oracle selects by them. */
import { armsOf, type Arm } from '@wagtailway/core'
import type { Qualities, WorkloadClass } from '../workloads.js'
import { armTruth, type ArmTruth } from './outputModel.js'

const ON_TIME_TARGET = 0.95

const groundTruths = new WeakMap<WorkloadClass, GroundTruth>()

/**
 * True averages by arm, cached across trials.
 *
 * @example
 * GroundTruth.of(workloadClass).oracleArm(qualities).key
 */
export class GroundTruth {
  readonly #arms: readonly Arm[]
  readonly #truths = new WeakMap<Qualities, Map<string, ArmTruth>>()
  readonly #oracle = new WeakMap<Qualities, Arm>()

  private constructor(private readonly workloadClass: WorkloadClass) {
    this.#arms = armsOf(workloadClass.candidates, !workloadClass.cls.sessions)
  }

  static of(workloadClass: WorkloadClass): GroundTruth {
    const known = groundTruths.get(workloadClass) ?? new GroundTruth(workloadClass)
    groundTruths.set(workloadClass, known)
    return known
  }

  truth(arm: Arm, qualities: Qualities): ArmTruth {
    const truths = this.#truths.get(qualities) ?? new Map<string, ArmTruth>()
    this.#truths.set(qualities, truths)
    const known = truths.get(arm.key)
    if (known) return known
    const { quality, latency } = this.workloadClass.cls
    const truth = armTruth(arm, qualities, quality.target, latency.firstTokenMs)
    truths.set(arm.key, truth)
    return truth
  }

  /**
   * The cheapest arm that meets the quality target, or the one with the best quality if
   * none meets it. Only arms that are on time are considered, unless there are none.
   */
  oracleArm(qualities: Qualities): Arm {
    const arm = this.#oracle.get(qualities) ?? this.#findOracleArm(qualities)
    this.#oracle.set(qualities, arm)
    return arm
  }

  /** Whether the oracle's arm meets the quality target. */
  canMeet(qualities: Qualities): boolean {
    const { target } = this.workloadClass.cls.quality
    return this.truth(this.oracleArm(qualities), qualities).quality >= target
  }

  #findOracleArm(qualities: Qualities): Arm {
    const { target } = this.workloadClass.cls.quality
    const armTruths = this.#arms.map((arm) => ({ arm, ...this.truth(arm, qualities) }))
    const onTimeArms = armTruths.filter(({ onTime }) => onTime >= ON_TIME_TARGET)
    const eligibleArms = onTimeArms.length > 0 ? onTimeArms : armTruths
    const qualifiedArms = eligibleArms.filter(({ quality }) => quality >= target)
    const cheapest = qualifiedArms.toSorted((a, b) => a.cost - b.cost)[0]
    const best = eligibleArms.toSorted((a, b) => b.quality - a.quality)[0]
    const selected = cheapest ?? best
    if (!selected) throw new Error('A class must have at least one version.')
    return selected.arm
  }
}
