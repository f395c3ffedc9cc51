/** Words for the record of a decision. */
import type { Refusal, Result, VersionPlan } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'

/** Notes what the class allows, what is withdrawn and what was planned. */
export function notePlan(node: RouterNode, call: Call, plan: VersionPlan): void {
  const { cls, decision } = call
  const index = node.config.current
  const allowed = index?.allowedVersions(cls).map(({ key }) => key) ?? []
  const withdrawn = allowed.filter((key) => index?.isWithdrawn(key) === true)
  decision.note(`quality target ${cls.quality.target}; allowed ${listed(allowed)}`)
  if (withdrawn.length > 0) decision.note(`withdrawn ${listed(withdrawn)}`)
  const steps = plan.steps.map(({ key }) => key).join(', then ')
  decision.note(`planned ${steps}${call.cls.sessions ? ' (class with sessions)' : ''}`)
}

/** Notes where an attempt goes and how it ends. */
export async function noteAttempt<T>(
  { decision }: Call,
  { id, zone }: Instance,
  what: string,
  attempt: () => Promise<Result<T, Refusal>>,
): Promise<Result<T, Refusal>> {
  decision.note(`sent to ${id} (${zone}) for ${what}`)
  const outcome = await attempt()
  decision.note(`${id}: ${describeOutcome(outcome)}`)
  return outcome
}

/** `answered`, or the refusal with its cause. */
export function describeOutcome(outcome: Result<unknown, Refusal>): string {
  if (outcome.ok) return 'answered'
  const { reason, ran, message } = outcome.val
  return `${reason} (${ran}): ${message}`
}

function listed(keys: readonly string[]): string {
  return keys.length === 0 ? 'none' : keys.join(', ')
}
