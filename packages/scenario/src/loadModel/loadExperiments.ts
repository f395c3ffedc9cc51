/** Experiments on overload, recovery and replica selection. */
import { correctedLoad, leastLoaded, ownLoad, powerOfTwoChoices } from '@wagtailway/core'
import { defineExperiment } from '../experiment/experiment.js'
import {
  firstTokenPercentile,
  goodput,
  minFairShareRatio,
  recoverySeconds,
  topPriorityMissRate,
} from './loadMeasures.js'
import { capacityOf, runLoad, type ClassOutcome } from './loadRun.js'
import {
  GEBETA_MIX,
  HANEUL_ALARM_MIX,
  HANEUL_MIX,
  classesAt,
  type MixedClass,
} from './loadWorkloads.js'
import { BASELINES, pooled, unpooled, type NodeFactory } from './nodeModels.js'

const NODES = 8
const REPLICAS = 6
const WARM_UP_MS = 60_000
const DURATION_MS = 120_000

/**
 * Requests in progress that each node allows under the policy 'fixed limit': its equal
 * share of the slots of all replicas.
 */
const FIXED_LIMIT = 24

const POLICIES: Readonly<Record<string, () => NodeFactory>> = {
  wagtailway: () => pooled(leastLoaded(ownLoad)),
  'fixed limit': () => unpooled(powerOfTwoChoices(ownLoad), FIXED_LIMIT),
  ...BASELINES,
}

const MIXES: Readonly<Record<string, readonly MixedClass[]>> = {
  gebeta: GEBETA_MIX,
  haneul: HANEUL_MIX,
  'haneul, many alarms': HANEUL_ALARM_MIX,
}

function runAt(
  createNode: NodeFactory,
  mix: readonly MixedClass[],
  load: number,
  seed: number,
): ClassOutcome[] {
  const rate = capacityOf(REPLICAS) * load
  return runLoad({
    createNode,
    classes: classesAt(mix, () => rate),
    nodes: NODES,
    replicas: REPLICAS,
    seed,
    warmUpMs: WARM_UP_MS,
    durationMs: DURATION_MS,
  })
}

/** Goodput retained at up to ten times the capacity, and how the classes share it. */
export const overloadExperiment = defineExperiment({
  name: 'overload',
  question: 'How much good work is done at 2, 5 and 10 times the capacity, and for whom?',
  policies: POLICIES,
  workloads: MIXES,
  faults: { '1x': 1, '2x': 2, '5x': 5, '10x': 10 },
  metrics: [
    { name: 'goodput', digits: 3, plotTitle: 'Goodput by capacity' },
    { name: 'kept', digits: 3 },
    { name: 'top misses', digits: 4, plotTitle: 'Misses of the highest class' },
    { name: 'least share', digits: 3 },
  ],
  goals: [
    {
      name: 'goodput kept',
      policy: 'wagtailway',
      metric: 'kept',
      atLeast: 0.95,
      faults: ['2x', '5x', '10x'],
    },
    { name: 'highest class', policy: 'wagtailway', metric: 'top misses', atMost: 0.01 },
    { name: 'fair shares', policy: 'wagtailway', metric: 'least share', atLeast: 0.9 },
  ],
  trial: ({ policy, workload, fault, seed }) => {
    const outcomes = runAt(policy(), workload, fault, seed)
    const classes = classesAt(workload, () => 0)
    const atCapacity = fault === 1 ? outcomes : runAt(policy(), workload, 1, seed)
    const goodPerSecond = goodput(outcomes, DURATION_MS)
    return {
      goodput: goodPerSecond / capacityOf(REPLICAS),
      kept: goodPerSecond / goodput(atCapacity, DURATION_MS),
      'top misses': topPriorityMissRate(classes, outcomes),
      'least share': minFairShareRatio(classes, outcomes),
    }
  },
})

/** Duration of the overload before the load falls, in milliseconds. */
const OVERLOAD_MS = 60_000

/** How callers retry refused and late requests. */
interface RetryBehaviour {
  readonly callerRetries: number
  readonly honourRetryAfter: boolean
}

const CALLER_BEHAVIOURS: Readonly<Record<string, RetryBehaviour>> = {
  'no retries': { callerRetries: 0, honourRetryAfter: true },
  'patient callers': { callerRetries: 4, honourRetryAfter: true },
  'impatient callers': { callerRetries: 4, honourRetryAfter: false },
}

/** Time to recover from an overload while callers retry. */
export const recoveryExperiment = defineExperiment({
  name: 'recovery',
  question:
    'How soon is all well after 60 s at 5 times the capacity, when callers retry?',
  policies: {
    wagtailway: () => pooled(leastLoaded(ownLoad)),
    'fixed limit': () => unpooled(powerOfTwoChoices(ownLoad), FIXED_LIMIT),
    'two choices': () => unpooled(powerOfTwoChoices(ownLoad)),
  },
  workloads: { gebeta: GEBETA_MIX, haneul: HANEUL_MIX },
  faults: CALLER_BEHAVIOURS,
  metrics: [
    { name: 'recovery s', digits: 1, plotTitle: 'Seconds to recover' },
    { name: 'vain runs', digits: 3 },
  ],
  goals: [
    { name: 'recovery', policy: 'wagtailway', metric: 'recovery s', atMost: 10 },
    { name: 'work in vain', policy: 'wagtailway', metric: 'vain runs', atMost: 0.05 },
  ],
  trial: ({ policy, workload, fault, seed }) => {
    const overloadEndMs = WARM_UP_MS + OVERLOAD_MS
    const capacity = capacityOf(REPLICAS)
    const outcomes = runLoad({
      createNode: policy(),
      classes: classesAt(
        workload,
        (nowMs) => capacity * relativeLoadAt(nowMs, overloadEndMs),
      ),
      nodes: NODES,
      replicas: REPLICAS,
      seed,
      warmUpMs: WARM_UP_MS,
      durationMs: 2 * OVERLOAD_MS,
      ...fault,
    })
    const runs = outcomes.reduce((sum, outcome) => sum + outcome.runs, 0)
    const wasted = outcomes.reduce((sum, outcome) => sum + outcome.wasted, 0)
    return {
      'recovery s': recoverySeconds(outcomes, overloadEndMs, overloadEndMs + OVERLOAD_MS),
      'vain runs': wasted / Math.max(1, runs),
    }
  },
})

function relativeLoadAt(nowMs: number, overloadEndMs: number): number {
  const isOverload = nowMs >= WARM_UP_MS && nowMs < overloadEndMs
  return isOverload ? 5 : 0.7
}

/** Tail latency of replica selection policies when load reports are stale. */
export const replicaExperiment = defineExperiment({
  name: 'replicas',
  question: 'How long is the tail at 0.8 load when load reports are 1 s old?',
  policies: {
    wagtailway: () => pooled(leastLoaded(ownLoad)),
    'pool, two choices': () => pooled(powerOfTwoChoices(ownLoad)),
    'corrected reports': () => unpooled(leastLoaded(correctedLoad)),
    'own count': () => unpooled(leastLoaded(ownLoad)),
    ...BASELINES,
  },
  workloads: { gebeta: GEBETA_MIX, haneul: HANEUL_MIX },
  faults: { none: 0.8 },
  metrics: [
    { name: 'p99 ms', digits: 0, plotTitle: 'First token, 99th percentile, ms' },
    { name: 'answered', digits: 4 },
  ],
  goals: [
    { name: 'answered', policy: 'wagtailway', metric: 'answered', atLeast: 0.999 },
    {
      name: 'tail',
      policy: 'wagtailway',
      metric: 'p99 ms',
      baseline: 'least reported load',
      atMost: 0.7,
    },
  ],
  trial: ({ policy, workload, fault, seed }) => {
    const outcomes = runAt(policy(), workload, fault, seed)
    const offered = outcomes.reduce((sum, outcome) => sum + outcome.offered, 0)
    const refused = outcomes.reduce((sum, outcome) => sum + outcome.refused, 0)
    return {
      'p99 ms': firstTokenPercentile(outcomes, 99),
      answered: 1 - refused / offered,
    }
  },
})
