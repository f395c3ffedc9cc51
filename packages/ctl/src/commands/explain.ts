/** `wagtailwayctl explain`: shows how a request was routed and why. */
import type { PlatformClient } from '@wagtailway/platform'
import { z } from 'zod'
import { callEntryInstances } from '../entryInstances.js'
import { EXIT } from '../exitCodes.js'
import { unavailableReport, type Report } from '../report.js'

const HTTP_OK = 200

const decisionSchema = z.object({
  requestId: z.string(),
  node: z.string(),
  class: z.string(),
  revision: z.number(),
  outcome: z.string(),
  events: z.array(z.object({ atMs: z.number(), what: z.string() })),
})

/**
 * Queries every entry instance for its stored decision on a request.
 *
 * @example
 * const { lines } = await explain(client, '1b2c3d4e-...')
 */
export async function explain(
  client: PlatformClient,
  requestId: string,
): Promise<Report> {
  const instances = await client.instances()
  if (instances.err) return unavailableReport('not explained', instances.val.message)
  const path = `/operator/decisions/${encodeURIComponent(requestId)}`
  const responses = await callEntryInstances(instances.val, 'GET', path)
  for (const { res } of responses) {
    const decision = decisionSchema.safeParse(res?.body)
    if (res?.status === HTTP_OK && decision.success)
      return describeDecision(decision.data)
  }
  const silent = responses.filter(({ res }) => res === undefined).length
  const message = `no entry instance has a decision on ${requestId} (${responses.length} queried, ${silent} silent); each stores only its latest requests`
  return { code: EXIT.notFound, lines: [message], data: { error: 'not_found', message } }
}

function describeDecision(decision: z.infer<typeof decisionSchema>): Report {
  const { requestId, node, revision, outcome, events } = decision
  return {
    code: EXIT.ok,
    lines: [
      `${requestId} of class ${decision.class} at ${node}, configuration ${revision}`,
      ...events.map(({ atMs, what }) => `  ${atMs.toFixed(1).padStart(8)} ms  ${what}`),
      `  ${outcome}`,
    ],
    data: { decision },
  }
}
