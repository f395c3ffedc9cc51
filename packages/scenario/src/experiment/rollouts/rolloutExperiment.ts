/** Exposure to versions that turn bad, and withdrawals of versions that don't. */
import { defineExperiment, type Goal, type Measures, type Trial } from '../experiment.js'
import { readWorkload, type Workload } from '../workloads.js'
import { GOOD, ROLLOUT_FAULTS, type RolloutFault } from './faults.js'
import {
  canarySteps,
  evidenceRollout,
  meanThreshold,
  type RolloutPolicy,
} from './rolloutPolicies.js'
import { runRollout } from './rolloutTrial.js'

const CANDIDATE = 'betting test'
const CANARY = 'canary steps'

const POLICIES: Readonly<Record<string, RolloutPolicy>> = {
  [CANDIDATE]: evidenceRollout,
  [CANARY]: canarySteps,
  'mean threshold': meanThreshold,
}

const WORKLOADS = { gebeta: readWorkload('gebeta'), haneul: readWorkload('haneul') }

/** Roll-outs in one trial. */
const BAD_ROLLOUTS = 5
const GOOD_ROLLOUTS = 100
const GOOD_MINUTES = 60
const PER_THOUSAND = 1_000

type RolloutTrial = Trial<RolloutPolicy, Workload, RolloutFault>

/** Callers exposed to bad versions. */
export const rolloutExperiment = defineExperiment<RolloutPolicy, Workload, RolloutFault>({
  name: 'rollouts',
  question: 'How many callers does a bad version reach until it is withdrawn?',
  policies: POLICIES,
  workloads: WORKLOADS,
  faults: ROLLOUT_FAULTS,
  metrics: [
    { name: 'exposed', digits: 0, plotTitle: 'Callers exposed to a bad version' },
    { name: 'withdrawn', digits: 2 },
  ],
  goals: [
    exposureGoal('collapse', 0.3),
    exposureGoal('slow drift', 0.5),
    { name: 'withdrawn', policy: CANDIDATE, metric: 'withdrawn', atLeast: 1 },
  ],
  trial: (trial) => {
    const outcomes = runMany(trial, BAD_ROLLOUTS)
    const exposed = outcomes.reduce((sum, o) => sum + o.exposed, 0)
    const withdrawn = outcomes.filter((o) => o.isWithdrawn).length
    return { exposed: exposed / BAD_ROLLOUTS, withdrawn: withdrawn / BAD_ROLLOUTS }
  },
})

/** False withdrawals, and what caution costs a good version in time. */
export const goodRolloutExperiment = defineExperiment<
  RolloutPolicy,
  Workload,
  RolloutFault
>({
  name: 'good-rollouts',
  question: 'How often is a good version withdrawn, and when does it get all traffic?',
  policies: POLICIES,
  workloads: WORKLOADS,
  faults: { none: GOOD },
  metrics: [
    { name: 'false per 1000', digits: 1, plotTitle: 'False withdrawals in 1,000' },
    { name: 'minutes to all', digits: 1, plotTitle: 'Minutes until all traffic' },
    { name: 'completed', digits: 3 },
  ],
  goals: [
    { name: 'few false alarms', policy: CANDIDATE, metric: 'false per 1000', atMost: 5 },
  ],
  trial: measureGood,
})

function measureGood(trial: RolloutTrial): Measures {
  const outcomes = runMany(trial, GOOD_ROLLOUTS, GOOD_MINUTES)
  const wrong = outcomes.filter((o) => o.isWithdrawn && !o.wasBad).length
  const minutes = outcomes.reduce((sum, o) => sum + o.completeMinutes, 0)
  const completed = outcomes.filter((o) => o.isComplete).length
  return {
    'false per 1000': (wrong / GOOD_ROLLOUTS) * PER_THOUSAND,
    'minutes to all': minutes / GOOD_ROLLOUTS,
    completed: completed / GOOD_ROLLOUTS,
  }
}

function runMany(
  { policy, workload, fault, seed }: RolloutTrial,
  count: number,
  minutes?: number,
): ReturnType<typeof runRollout>[] {
  return Array.from({ length: count }, (_, i) =>
    runRollout({
      policy,
      workload,
      fault,
      seed: seed * PER_THOUSAND + i,
      ...(minutes === undefined ? {} : { minutes }),
    }),
  )
}

function exposureGoal(fault: string, atMost: number): Goal {
  return {
    name: `less exposure to ${fault}`,
    policy: CANDIDATE,
    baseline: CANARY,
    metric: 'exposed',
    atMost,
    faults: [fault],
  }
}
