/** Selects the versions that may serve a request. */
import {
  Err,
  ESCALATION_PRIOR,
  ON_TIME_PRIOR,
  Ok,
  armPrior,
  notRun,
  versionKey,
  type Arm,
  type ArmEstimates,
  type Candidate,
  type Refusal,
  type Result,
  type VersionPlan,
} from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'
import { pinSession, pinnedVersion } from './pinSession.js'

/** Delay before a caller should retry if no version can serve, in milliseconds. */
const NO_VERSION_RETRY_MS = 2_000

/** Returns a plan with the pinned version of a session, or the plan of the version policy. */
export async function selectVersions(
  node: RouterNode,
  ctx: RequestContext,
): Promise<Result<VersionPlan, Refusal>> {
  const allowed = node.config.current?.allowedVersions(ctx.cls) ?? []
  const pinned = pinnedVersion(node, ctx, allowed)
  if (pinned.err) return pinned
  if (pinned.val) return Ok(singlePlan(pinned.val))
  const plan = planVersions(node, ctx, allowed)
  const first = plan?.steps[0]
  if (!plan || !first) {
    const message = `No allowed version of class "${ctx.cls.name}" can serve now.`
    return Err(notRun('no_version', message, NO_VERSION_RETRY_MS))
  }
  if (!ctx.cls.sessions) return Ok(plan)
  const pin = await pinSession(node, ctx, first, allowed)
  return pin.err ? pin : Ok(singlePlan(pin.val))
}

/** Whether a version may be sent a new request at this moment. */
export function mayDispatch(node: RouterNode, candidate: Candidate): boolean {
  const { config, rollouts } = node
  const { key } = candidate
  if (rollouts.isWithdrawn(key)) return false
  // In a platform outage no withdrawal can be stored, so the last known state still holds.
  // Versions condemned by their ratings are reported by other instances through gossip.
  const isRolloutStateKnown = rollouts.isFresh(key) || config.isServingUnconfirmed
  if (rollouts.isUnderRollout(key) && !isRolloutStateKnown) return false
  if (!node.isInstanceListCurrent()) return false
  return config.isFresh && config.current?.isWithdrawn(key) === false
}

/** Returns the policy's plan, with the new versions of rollouts in their share of requests. */
function planVersions(
  node: RouterNode,
  ctx: RequestContext,
  allowed: readonly Candidate[],
): VersionPlan | undefined {
  const { rollouts } = node
  const usable = allowed.filter(({ key }) => isUsable(node, key))
  const plan = node.policies.selectVersions({
    cls: ctx.cls,
    candidates: usable.filter(({ key }) => !rollouts.isUnderRollout(key)),
    estimate: (arm) => estimateArm(node, ctx.classKey, arm),
    hasBackend: (candidate) => hasBackend(node, candidate),
    random: node.random,
  })
  return plan && replaceSteps(plan, (step) => rolloutReplacement(node, step, usable))
}

/** Returns the new version that replaces a step, with the probability of the rollout's share. */
function rolloutReplacement(
  node: RouterNode,
  step: Candidate,
  usable: readonly Candidate[],
): Candidate | undefined {
  const rollout = node.rollouts.rolloutReplacing(step.key)
  if (!rollout) return undefined
  const key = versionKey(rollout.model, rollout.to)
  const candidate = usable.find((other) => other.key === key)
  if (!candidate || !hasBackend(node, candidate)) return undefined
  return node.random() < node.rollouts.share(key) ? candidate : undefined
}

function replaceSteps(
  plan: VersionPlan,
  replacementOf: (step: Candidate) => Candidate | undefined,
): VersionPlan {
  const steps = plan.steps.map((step) => replacementOf(step) ?? step)
  return { ...plan, key: steps.map(({ key }) => key).join('>'), steps }
}

function isUsable({ config, rollouts }: RouterNode, key: string): boolean {
  return config.current?.isWithdrawn(key) === false && !rollouts.isWithdrawn(key)
}

function hasBackend(node: RouterNode, candidate: Candidate): boolean {
  return (node.backends.forVersion(candidate.key)?.size ?? 0) > 0
}

function estimateArm(node: RouterNode, classKey: string, arm: Arm): ArmEstimates {
  const { estimates } = node
  return {
    quality: estimates.estimate('quality', classKey, arm.key, armPrior(arm)),
    onTime: estimates.estimate('onTime', classKey, arm.key, ON_TIME_PRIOR),
    escalated: estimates.estimate('escalated', classKey, arm.key, ESCALATION_PRIOR),
  }
}

function singlePlan(candidate: Candidate): VersionPlan {
  return { key: candidate.key, steps: [candidate] }
}
