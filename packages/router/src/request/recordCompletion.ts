/** Records an answered request for billing before its end is released. */
import type { BillingRecord, Candidate, VersionPlan } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'

const MS_PER_SECOND = 1_000

/** What was answered, by which plan. */
export interface Answered {
  readonly plan: VersionPlan
  /** The version whose answer the caller gets. */
  readonly candidate: Candidate
  readonly record: BillingRecord
}

/** Adds the record to the ledger, copies it to other instances and asks for a rating. */
export async function recordAnswer(
  node: RouterNode,
  call: Call,
  { plan, candidate, record }: Answered,
): Promise<void> {
  const entry = node.ledger.add(record)
  const copied = await node.copyRecord(entry)
  if (!copied) node.metrics.copyFailures.inc()
  node.metrics.costMicros.inc({ class: call.classKey }, record.costMicros)
  node.metrics.requests.inc({ class: call.classKey, version: candidate.key })
  const seconds = (node.clock() - call.startMs) / MS_PER_SECOND
  node.metrics.duration.observe({ class: call.classKey }, seconds)
  noteEvidence(node, call, plan, candidate)
}

/** Counts what the answer itself tells, and asks for a rating where one is due. */
function noteEvidence(
  node: RouterNode,
  call: Call,
  plan: VersionPlan,
  candidate: Candidate,
): void {
  const { requestId, classKey, firstTokenMs, firstTokenTargetMs } = call
  if (firstTokenMs !== undefined) {
    const isOnTime = firstTokenMs <= firstTokenTargetMs
    node.estimates.add('onTime', classKey, plan.key, isOnTime ? 1 : 0)
  }
  const { key } = candidate
  if (node.rollouts.isUnderRollout(key)) {
    node.rollouts.recordExposure(key, classKey)
    node.metrics.rolloutAnswers.inc({ class: classKey, version: key })
  }
  const isDue = plan.isTrial === true || node.rollouts.needsAllRatings(key)
  if (!isDue && node.random() >= node.cfg.ratingSample) return
  node.metrics.ratings.inc({ event: 'asked' })
  node.requestRating({ requestId, classKey, versionKey: key })
}
