/** True averages of the arms of one class, and the best choice that they allow. */
import { armsOf, type Arm } from '@wagtailway/core'
import type { Qualities, WorkloadClass } from '../workloads.js'
import { armTruth, type ArmTruth } from './outputModel.js'

const ON_TIME_TARGET = 0.95

const tables = new WeakMap<WorkloadClass, TruthTable>()

/**
 * Truths by arm, kept between trials.
 *
 * @example
 * TruthTable.of(workloadClass).oracleArm(qualities).key
 */
export class TruthTable {
  readonly #arms: readonly Arm[]
  readonly #truths = new WeakMap<Qualities, Map<string, ArmTruth>>()
  readonly #oracle = new WeakMap<Qualities, Arm>()

  private constructor(private readonly workloadClass: WorkloadClass) {
    this.#arms = armsOf(workloadClass.candidates, !workloadClass.cls.sessions)
  }

  static of(workloadClass: WorkloadClass): TruthTable {
    const known = tables.get(workloadClass) ?? new TruthTable(workloadClass)
    tables.set(workloadClass, known)
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

  /** The cheapest arm that meets both targets, else the best one. */
  oracleArm(qualities: Qualities): Arm {
    const arm = this.#oracle.get(qualities) ?? this.#findOracleArm(qualities)
    this.#oracle.set(qualities, arm)
    return arm
  }

  /** Whether any arm that is in time meets the quality target. */
  canMeet(qualities: Qualities): boolean {
    const { target } = this.workloadClass.cls.quality
    return this.truth(this.oracleArm(qualities), qualities).quality >= target
  }

  #findOracleArm(qualities: Qualities): Arm {
    const { target } = this.workloadClass.cls.quality
    const judged = this.#arms.map((arm) => ({ arm, ...this.truth(arm, qualities) }))
    const punctual = judged.filter(({ onTime }) => onTime >= ON_TIME_TARGET)
    const usable = punctual.length > 0 ? punctual : judged
    const good = usable.filter(({ quality }) => quality >= target)
    const cheapest = good.toSorted((a, b) => a.cost - b.cost)[0]
    const best = usable.toSorted((a, b) => b.quality - a.quality)[0]
    const found = cheapest ?? best
    if (!found) throw new Error('A class needs a version.')
    return found.arm
  }
}
