/** Chooses the versions that may answer a request. */
import {
  Err,
  ESCALATION_PRIOR,
  ON_TIME_PRIOR,
  Ok,
  armPrior,
  notRun,
  type Arm,
  type ArmEstimates,
  type Candidate,
  type Refusal,
  type Result,
  type VersionPlan,
} from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'
import { pinSession, pinnedVersion } from './pinSession.js'

/** When a caller should try again if no version has a backend server, in milliseconds. */
const NO_VERSION_RETRY_MS = 2_000

/** A pinned session's version, or the plan of the version policy. */
export async function chooseVersions(
  node: RouterNode,
  call: Call,
): Promise<Result<VersionPlan, Refusal>> {
  const allowed = node.config.current?.allowed(call.cls) ?? []
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
  return node.config.isFresh && node.config.current?.isWithdrawn(candidate.key) === false
}

function planVersions(
  node: RouterNode,
  call: Call,
  allowed: readonly Candidate[],
): VersionPlan | undefined {
  return node.policies.chooseVersions({
    cls: call.cls,
    candidates: allowed.filter(({ key }) => !node.config.current?.isWithdrawn(key)),
    estimate: (arm) => estimateArm(node, call.classKey, arm),
    hasBackend: (candidate) => (node.backends.serving(candidate.key)?.size ?? 0) > 0,
    random: node.random,
  })
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
