/** Chooses the versions that may answer a request. */
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
import type { Call } from './requestContext.js'
import { pinSession, pinnedVersion } from './pinSession.js'

/** When a caller should try again if no version has a backend server, in milliseconds. */
const NO_VERSION_RETRY_MS = 2_000

/** A pinned session's version, or the plan of the version policy. */
export async function chooseVersions(
  node: RouterNode,
  call: Call,
): Promise<Result<VersionPlan, Refusal>> {
  const allowed = node.config.current?.allowedVersions(call.cls) ?? []
  const pinned = pinnedVersion(node, call, allowed)
  if (pinned.err) return pinned
  if (pinned.val) return Ok(singlePlan(pinned.val))
  const plan = planVersions(node, call, allowed)
  const first = plan?.steps[0]
  if (!plan || !first) {
    const message = `No allowed version of class "${call.cls.name}" can serve now.`
    return Err(notRun('no_version', message, NO_VERSION_RETRY_MS))
  }
  if (!call.cls.sessions) return Ok(plan)
  const kept = await pinSession(node, call, first, allowed)
  return kept.err ? kept : Ok(singlePlan(kept.val))
}

/** Whether a version may get a new request at this moment. */
export function mayDispatch(node: RouterNode, candidate: Candidate): boolean {
  const { config, rollouts } = node
  const { key } = candidate
  if (rollouts.isWithdrawn(key)) return false
  // In an outage no withdrawal can be written; condemnations come through the others.
  const isKnown = rollouts.isFresh(key) || config.isServingUnconfirmed
  if (rollouts.isUnderRollout(key) && !isKnown) return false
  if (!node.isInstanceListCurrent()) return false
  return config.isFresh && config.current?.isWithdrawn(key) === false
}

/** The policy's plan, in which a part of the requests gets the new version of a roll-out. */
function planVersions(
  node: RouterNode,
  call: Call,
  allowed: readonly Candidate[],
): VersionPlan | undefined {
  const { rollouts } = node
  const usable = allowed.filter(({ key }) => isUsable(node, key))
  const plan = node.policies.selectVersions({
    cls: call.cls,
    candidates: usable.filter(({ key }) => !rollouts.isUnderRollout(key)),
    estimate: (arm) => estimateArm(node, call.classKey, arm),
    hasBackend: (candidate) => hasBackend(node, candidate),
    random: node.random,
  })
  return plan && replaceSteps(plan, (step) => newVersionOf(node, step, usable))
}

/** The new version that takes the place of a step, by the roll-out's share. */
function newVersionOf(
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
  newVersion: (step: Candidate) => Candidate | undefined,
): VersionPlan {
  const steps = plan.steps.map((step) => newVersion(step) ?? step)
  return { ...plan, key: steps.map(({ key }) => key).join('>'), steps }
}

function isUsable({ config, rollouts }: RouterNode, key: string): boolean {
  return config.current?.isWithdrawn(key) === false && !rollouts.isWithdrawn(key)
}

function hasBackend(node: RouterNode, candidate: Candidate): boolean {
  return (node.backends.serving(candidate.key)?.size ?? 0) > 0
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
