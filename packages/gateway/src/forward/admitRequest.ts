/** Admission of one request of a service with models, before its first attempt. */
import type { AdmissionDecision } from '../admission/decideAdmission.js'
import { WORKSPACE_URGENCY_STEP } from '../model/urgency.js'
import { refuseUnserved } from './requestOutcomes.js'
import type { RequestContext } from './requestContext.js'
import type { RequestOutcome } from './requestLog.js'

/**
 * Lets a request be sent, perhaps less urgently, or refuses it as not run. A stream that is
 * resumed is always sent, since its caller has received a part of it.
 *
 * @returns The outcome of a refused request; `undefined` if it may be sent.
 *
 * @example
 * const refusal = admitRequest(ctx)
 * if (refusal) return refusal
 */
export function admitRequest(ctx: RequestContext): RequestOutcome | undefined {
  const { node, caller, service, workspace, route } = ctx.opts
  if (service.models.length === 0 || caller.metadata.lastEventId !== undefined)
    return undefined
  const priority = (workspace?.priority ?? 0) * WORKSPACE_URGENCY_STEP + route.priority
  const { decision, pressure, admitted, excess } = node
    .admission(service.name)
    .decide({ workspace: workspace?.name ?? '', priority })
  const { log, metrics } = node.opts
  const name = nameOf(decision)
  metrics.admissions.inc({ service: service.name, decision: name })
  metrics.admittedRatio.set({ service: service.name }, admitted)
  if (name === 'sent') return undefined
  log('admission', {
    id: caller.metadata.requestId,
    service: service.name,
    workspace: workspace?.name,
    priority,
    decision: name,
    occupancy: round(pressure.occupancy),
    meanWaitMs: Math.round(pressure.meanWaitMs),
    demotedWaitMs: Math.round(pressure.demotedWaitMs),
    loadsAgeMs: pressure.ageMs && Math.round(pressure.ageMs),
    admitted: round(admitted),
    excess: round(excess),
    ...(decision.type === 'refuse' && {
      retryAfterMs: Math.round(decision.retryAfterMs),
    }),
  })
  if (decision.type === 'refuse')
    return refuseUnserved(ctx, decision.reason, decision.retryAfterMs, 0)
  ctx.placement.demotion = decision.demotion
  return undefined
}

function nameOf(decision: AdmissionDecision): string {
  if (decision.type === 'refuse') return decision.reason
  return decision.demotion > 0 ? 'demoted' : 'sent'
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000
}
