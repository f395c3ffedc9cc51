/** Processor time of one decision: version among nine, then replica among a subset. */
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

/** One way to decide. */
export interface DecisionCost {
  readonly name: string
  /** Microseconds of processor time for one decision. */
  readonly micros: Interval
}

const SUBSET = 20
const RUNS = 7
const DECISIONS = 20_000
const WARM_UP = 5_000
/** Requests of one node from one decision to the next take this long, in milliseconds. */
const REQUEST_GAP_MS = 1_000 / 35
const RATING_EVERY = 5

/**
 * Measures decisions as one node makes them, evidence arriving all the time.
 *
 * @example
 * for (const { name, micros } of measureDecisions()) console.log(name, micros.mean)
 */
export function measureDecisions(): DecisionCost[] {
  return [
    { name: 'nine versions, choice kept for 5 s', micros: measure(true, false) },
    { name: 'nine versions, new choice each time', micros: measure(false, false) },
    { name: '45 arms, choice kept for 5 s', micros: measure(true, true) },
    { name: '45 arms, new choice each time', micros: measure(false, true) },
  ]
}

function measure(isKept: boolean, withCascades: boolean): Interval {
  const decide = createDecision(isKept, withCascades)
  for (let i = 0; i < WARM_UP; i++) decide(i)
  const runs = Array.from({ length: RUNS }, () => {
    const before = process.cpuUsage()
    for (let i = 0; i < DECISIONS; i++) decide(i)
    const { user, system } = process.cpuUsage(before)
    return (user + system) / DECISIONS
  })
  return meanInterval(runs)
}

function createDecision(isKept: boolean, withCascades: boolean): (i: number) => void {
  const clock = VirtualClock.create()
  const random = seededRandom(1)
  const evidence = EvidenceTable.create({ source: 'n1', clock: clock.now })
  const estimates = QualityEstimates.create({ evidence })
  const policy = cheapestMeetingTargets(isKept ? { clock: clock.now } : {})
  const queries = nineVersions().classes.map((workloadClass) =>
    toQuery(workloadClass, estimates, withCascades, random),
  )
  const chooseReplica = leastLoaded(ownLoad)
  const replicas = Array.from({ length: SUBSET }, (_, i) => replica(i))
  return (i) => {
    clock.advance(REQUEST_GAP_MS)
    const query = queries[i % queries.length]
    if (!query) return
    const plan = decideOnce(policy, query)
    const { cls } = query
    if (i % RATING_EVERY === 0) {
      estimates.add('quality', `${cls.workspace}/${cls.name}`, plan, random())
    }
    chooseReplica({ replicas, zone: 'z1', random })
  }
}

function decideOnce(policy: VersionPolicy, query: VersionQuery): string {
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

function replica(i: number): ReplicaView {
  return {
    id: `e${i}`,
    zone: `z${(i % 3) + 1}`,
    inFlight: i % 7,
    reportedLoad: i % 5,
    reportAgeMs: 500,
    startsSinceReport: i % 3,
  }
}
