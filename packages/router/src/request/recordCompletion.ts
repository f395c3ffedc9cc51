/** Records a completed request before the end of its response is sent. */
import type { BillingRecord, Candidate, VersionPlan } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'

const MS_PER_SECOND = 1_000

/** A completed request with its plan and billing record. */
export interface CompletedRequest {
  readonly plan: VersionPlan
  /** The version whose output the caller gets. */
  readonly candidate: Candidate
  readonly record: BillingRecord
}

/** Adds the record to the ledger, copies it to other instances and updates metrics and evidence. */
export async function recordCompletion(
  node: RouterNode,
  ctx: RequestContext,
  { plan, candidate, record }: CompletedRequest,
): Promise<void> {
  const entry = node.ledger.add(record)
  const isCopied = await node.copyRecord(entry)
  if (!isCopied) node.metrics.copyFailures.inc()
  node.metrics.costMicros.inc({ class: ctx.classKey }, record.costMicros)
  node.metrics.requests.inc({ class: ctx.classKey, version: candidate.key })
  const seconds = (node.clock() - ctx.startMs) / MS_PER_SECOND
  node.metrics.duration.observe({ class: ctx.classKey }, seconds)
  recordEvidence(node, ctx, plan, candidate)
}

/**
 * Records whether the first token was on time and, for versions under rollout, the exposure.
 * Requests a rating if the plan, the rollout or the sample calls for one.
 */
function recordEvidence(
  node: RouterNode,
  ctx: RequestContext,
  plan: VersionPlan,
  candidate: Candidate,
): void {
  const { requestId, classKey, firstTokenMs, firstTokenTargetMs } = ctx
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
