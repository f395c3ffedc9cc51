/** Records an answered request for billing before its end is released. */
import type { BillingRecord, Candidate } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'

const MS_PER_SECOND = 1_000

/** Adds the record to the ledger, copies it to other instances and asks for a rating. */
export async function recordAnswer(
  node: RouterNode,
  call: Call,
  candidate: Candidate,
  record: BillingRecord,
): Promise<void> {
  const entry = node.ledger.add(record)
  const copied = await node.copyRecord(entry)
  if (!copied) node.metrics.copyFailures.inc()
  node.metrics.costMicros.inc({ class: call.classKey }, record.costMicros)
  node.metrics.requests.inc({ class: call.classKey, version: candidate.key })
  const seconds = (node.clock() - call.startMs) / MS_PER_SECOND
  node.metrics.duration.observe({ class: call.classKey }, seconds)
  if (node.random() < node.cfg.ratingSample) {
    const { requestId, classKey } = call
    node.requestRating({ requestId, classKey, versionKey: candidate.key })
  }
}
