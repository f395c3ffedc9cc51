/** Processor time of one decision: one of nine versions, then one replica of a subset. */
import {
  ESCALATION_PRIOR,
  EvidenceTable,
  ON_TIME_PRIOR,
  QualityEstimates,
  VirtualClock,
  acceptNonEmpty,
  armPrior,
  cheapestMeetingTargets,
  leastLoaded,
  ownLoad,
  seededRandom,
  type ReplicaView,
  type VersionPolicy,
  type VersionQuery,
} from '@wagtailway/core'
import { nineVersions, type WorkloadClass } from '../workloads.js'
import { meanInterval, type Interval } from '../statistics.js'

/** Cost of decisions in one configuration. */
export interface DecisionCost {
  readonly name: string
  /** Processor time of one decision, in microseconds. */
  readonly micros: Interval
}

const SUBSET_SIZE = 20
const RUNS = 7
const DECISIONS_PER_RUN = 20_000
const WARM_UP_DECISIONS = 5_000
/** Time between two requests at one node, in milliseconds: 35 requests per second. */
const REQUEST_GAP_MS = 1_000 / 35
const DECISIONS_PER_RATING = 5

/**
 * Measures the decisions of one node while new evidence arrives.
 *
 * @example
 * for (const { name, micros } of measureDecisions()) console.log(name, micros.mean)
 */
export function measureDecisions(): DecisionCost[] {
  return [
    { name: 'nine versions, choice kept for 5 s', micros: measureDecision(true, false) },
    {
      name: 'nine versions, new choice each time',
      micros: measureDecision(false, false),
    },
    { name: '45 arms, choice kept for 5 s', micros: measureDecision(true, true) },
    { name: '45 arms, new choice each time', micros: measureDecision(false, true) },
  ]
}

function measureDecision(keepsChoice: boolean, withCascades: boolean): Interval {
  const decide = createDecision(keepsChoice, withCascades)
  for (let i = 0; i < WARM_UP_DECISIONS; i++) decide(i)
  const runs = Array.from({ length: RUNS }, () => {
    const before = process.cpuUsage()
    for (let i = 0; i < DECISIONS_PER_RUN; i++) decide(i)
    const { user, system } = process.cpuUsage(before)
    return (user + system) / DECISIONS_PER_RUN
  })
  return meanInterval(runs)
}

function createDecision(
  keepsChoice: boolean,
  withCascades: boolean,
): (i: number) => void {
  const clock = VirtualClock.create()
  const random = seededRandom(1)
  const evidence = EvidenceTable.create({ source: 'n1', clock: clock.now })
  const estimates = QualityEstimates.create({ evidence })
  const policy = cheapestMeetingTargets(keepsChoice ? { clock: clock.now } : {})
  const queries = nineVersions().classes.map((workloadClass) =>
    toQuery(workloadClass, estimates, withCascades, random),
  )
  const selectReplica = leastLoaded(ownLoad)
  const replicas = Array.from({ length: SUBSET_SIZE }, (_, i) => createReplica(i))
  return (i) => {
    clock.advance(REQUEST_GAP_MS)
    const query = queries[i % queries.length]
    if (!query) return
    const armKey = selectArmKey(policy, query)
    const { cls } = query
    if (i % DECISIONS_PER_RATING === 0) {
      estimates.add('quality', `${cls.workspace}/${cls.name}`, armKey, random())
    }
    selectReplica({ replicas, zone: 'z1', random })
  }
}

function selectArmKey(policy: VersionPolicy, query: VersionQuery): string {
  return policy(query)?.key ?? ''
}

function toQuery(
  { cls, key, candidates }: WorkloadClass,
  estimates: QualityEstimates,
  withCascades: boolean,
  random: () => number,
): VersionQuery {
  return {
    cls,
    candidates,
    estimate: (arm) => ({
      quality: estimates.estimate('quality', key, arm.key, armPrior(arm)),
      onTime: estimates.estimate('onTime', key, arm.key, ON_TIME_PRIOR),
      escalated: estimates.estimate('escalated', key, arm.key, ESCALATION_PRIOR),
    }),
    hasBackend: () => true,
    accepts: withCascades ? acceptNonEmpty : undefined,
    random,
  }
}

function createReplica(i: number): ReplicaView {
  return {
    id: `e${i}`,
    zone: `z${(i % 3) + 1}`,
    inFlight: i % 7,
    reportedLoad: i % 5,
    reportAgeMs: 500,
    startsSinceReport: i % 3,
  }
}
