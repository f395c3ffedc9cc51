/** Adds plans and attempts to the decision record of a request. */
import type { Refusal, Result, VersionPlan } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'

/** Records the class's quality target and its allowed, withdrawn and planned versions. */
export function recordPlan(
  node: RouterNode,
  ctx: RequestContext,
  plan: VersionPlan,
): void {
  const { cls, decision } = ctx
  const index = node.config.current
  const allowed = index?.allowedVersions(cls).map(({ key }) => key) ?? []
  const withdrawn = allowed.filter((key) => index?.isWithdrawn(key) === true)
  decision.note(`quality target ${cls.quality.target}; allowed ${formatKeys(allowed)}`)
  if (withdrawn.length > 0) decision.note(`withdrawn ${formatKeys(withdrawn)}`)
  const steps = plan.steps.map(({ key }) => key).join(', then ')
  decision.note(`planned ${steps}${ctx.cls.sessions ? ' (class with sessions)' : ''}`)
}

/** Runs an attempt and records its backend server and outcome. */
export async function recordAttempt<T>(
  { decision }: RequestContext,
  { id, zone }: Instance,
  versionOrService: string,
  attempt: () => Promise<Result<T, Refusal>>,
): Promise<Result<T, Refusal>> {
  decision.note(`sent to ${id} (${zone}) for ${versionOrService}`)
  const outcome = await attempt()
  decision.note(`${id}: ${describeOutcome(outcome)}`)
  return outcome
}

/** Returns `answered`, or the refusal's reason, run state and message. */
export function describeOutcome(outcome: Result<unknown, Refusal>): string {
  if (outcome.ok) return 'answered'
  const { reason, ran, message } = outcome.val
  return `${reason} (${ran}): ${message}`
}

function formatKeys(keys: readonly string[]): string {
  return keys.length === 0 ? 'none' : keys.join(', ')
}
