/** Cost at the quality target: the version policy beside its baselines and an oracle. */
import {
  alwaysBest,
  alwaysCheapest,
  cheapestMeetingTargets,
  fixedSplit,
  greedyOnMeans,
  seededRandom,
  type VersionPolicy,
} from '@wagtailway/core'
import {
  defineExperiment,
  type Goal,
  type Measures,
  type MetricSpec,
  type Trial,
} from '../experiment.js'
import { nineVersions, readWorkload, type Workload } from '../workloads.js'
import { runClass, type ClassOutcome, type TrialPolicy } from './classTrial.js'
import { NO_FAULT, VERSION_FAULTS, type VersionFault } from './faults.js'

/** How long a choice is kept, in milliseconds. */
const KEEP_MS = 10_000

const POLICIES: Readonly<Record<string, TrialPolicy>> = {
  oracle: { type: 'oracle' },
  'cheapest shown good': {
    type: 'policy',
    create: (clock) => cheapestMeetingTargets({ clock, keepMs: KEEP_MS }),
  },
  'always best': policy(alwaysBest),
  'always cheapest': policy(alwaysCheapest),
  'fixed split': policy(fixedSplit(0.5)),
  'greedy on means': policy(greedyOnMeans),
}

const CANDIDATE = 'cheapest shown good'
const CHEAP_SUFFICES = ['none', 'ratings lost', 'late and coarse']

const METRICS: readonly MetricSpec[] = [
  { name: 'cost', digits: 3, plotTitle: 'Cost of a request' },
  { name: 'missed', digits: 3, plotTitle: 'Windows below the quality target' },
  { name: 'quality', digits: 3 },
  { name: 'on time', digits: 3 },
]

const NEAR_THE_ORACLE: Goal = {
  name: 'near the oracle',
  policy: CANDIDATE,
  baseline: 'oracle',
  metric: 'cost',
  atMost: 1.1,
}

const TARGET_MET: Goal = {
  name: 'target met',
  policy: CANDIDATE,
  metric: 'missed',
  atMost: 0.05,
}

const FAR_BELOW_THE_BEST: Goal = {
  name: 'far below the best',
  policy: CANDIDATE,
  baseline: 'always best',
  metric: 'cost',
  atMost: 0.6,
  faults: CHEAP_SUFFICES,
}

/** Version choice on both deployments. */
export const versionExperiment = defineExperiment<TrialPolicy, Workload, VersionFault>({
  name: 'versions',
  question: 'What does meeting the quality target cost, and how often is it missed?',
  policies: POLICIES,
  workloads: { gebeta: readWorkload('gebeta'), haneul: readWorkload('haneul') },
  faults: VERSION_FAULTS,
  metrics: METRICS,
  goals: [NEAR_THE_ORACLE, TARGET_MET, FAR_BELOW_THE_BEST],
  trial: runTrial,
})

/** Version choice where there are nine versions and so 45 arms. */
export const nineVersionExperiment = defineExperiment<
  TrialPolicy,
  Workload,
  VersionFault
>({
  name: 'nine-versions',
  question: 'Does the version choice find its way among nine versions?',
  policies: POLICIES,
  workloads: { nine: nineVersions() },
  faults: { none: NO_FAULT },
  metrics: METRICS,
  goals: [NEAR_THE_ORACLE, TARGET_MET, FAR_BELOW_THE_BEST],
  trial: runTrial,
})

function policy(chosen: VersionPolicy): TrialPolicy {
  return { type: 'policy', create: () => chosen }
}

function runTrial(trial: Trial<TrialPolicy, Workload, VersionFault>): Measures {
  const outcomes = trial.workload.classes.map((workloadClass, i) =>
    runClass({
      ...trial,
      workloadClass,
      random: seededRandom(trial.seed * 1_000 + i),
    }),
  )
  const total = (pick: (outcome: ClassOutcome) => number): number =>
    outcomes.reduce((sum, outcome) => sum + pick(outcome), 0)
  const requests = total((o) => o.requests)
  return {
    cost: total((o) => o.cost) / requests,
    missed: total((o) => o.missed) / total((o) => o.windows),
    quality: total((o) => o.quality) / requests,
    'on time': total((o) => o.onTime) / requests,
  }
}
