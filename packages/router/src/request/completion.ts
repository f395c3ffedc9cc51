/**
 * One chat completion from the caller's request to its answer:
 * identify, admit, choose, claim, dispatch, check, go up, record, answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  Err,
  Ok,
  costMicros,
  notRun,
  type BackendCall,
  type BillingRecord,
  type Candidate,
  type Refusal,
  type Result,
  type VersionPlan,
} from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import { admit } from './admit.js'
import type { Call } from './requestContext.js'
import { chooseVersions, mayDispatch } from './selectVersions.js'
import { claimRequest, type RunLeave } from './claimRequest.js'
import { completeOnce, type Answer } from './attemptCompletion.js'
import { dispatch } from './dispatch.js'
import { checkModel, findClass } from './identify.js'
import { noteAttempt, notePlan } from './decisionEvents.js'
import { prepareChat, type PreparedChat } from './prepareChat.js'
import { receive, serveCall } from './receiveRequest.js'
import { recordAnswer } from './recordCompletion.js'

/** Serves one chat completion; a refusal is returned for the server to send. */
export async function handleCompletion(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<Result<undefined, Refusal>> {
  const received = await receive(node, req)
  if (received.err) return received
  const { caller, body } = received.val
  const chat = prepareChat(body)
  if (chat.err) return chat
  const cls = findClass(caller, req, chat.val.model)
  if (cls.err) return cls
  const forbidden = checkModel(cls.val, chat.val.model)
  if (forbidden) return Err(forbidden)
  return serveCall(node, { req, res }, caller, cls.val, (call) =>
    serve(node, call, chat.val),
  )
}

async function serve(
  node: RouterNode,
  call: Call,
  chat: PreparedChat,
): Promise<Result<undefined, Refusal>> {
  const refusal = admit(node, call)
  if (refusal) return Err(refusal)
  const plan = await chooseVersions(node, call)
  if (plan.err) return plan
  const claim = await claimRequest(node, call)
  if (claim.err) return claim
  notePlan(node, call, plan.val)
  const answered = await runPlan(node, call, chat, plan.val, claim.val)
  claim.val.settle(answered)
  if (answered.err) return answered
  const { answer, calls, cost, candidate } = answered.val
  const record = toRecord(node, call, calls, cost)
  await recordAnswer(node, call, { plan: plan.val, candidate, record })
  await answer.finish()
  return Ok(undefined)
}

interface PlanResult {
  readonly answer: Answer
  readonly candidate: Candidate
  readonly calls: readonly BackendCall[]
  readonly cost: number
}

/** Tries the plan's versions in turn until an answer is good enough. */
async function runPlan(
  node: RouterNode,
  call: Call,
  chat: PreparedChat,
  plan: VersionPlan,
  leave: RunLeave,
): Promise<Result<PlanResult, Refusal>> {
  const calls: BackendCall[] = []
  let cost = 0
  let failure: Refusal = notRun('no_version', 'The plan names no version.')
  for (const [i, candidate] of plan.steps.entries()) {
    const isLast = i === plan.steps.length - 1
    if (i > 0) node.metrics.escalations.inc({ class: call.classKey })
    const { outcome, backend } = await dispatch({
      node,
      call,
      group: node.backends.serving(candidate.key),
      mayDispatch: () => mayDispatch(node, candidate) && leave.isValid(),
      attempt: (place) =>
        noteAttempt(call, place.backend, candidate.key, () =>
          completeOnce(node, call, chat, candidate, place, isLast),
        ),
      repeatable: () => !call.nonIdempotent && !call.res.headersSent,
    })
    if (outcome.err) {
      failure = outcome.val
      break
    }
    const answer = outcome.val
    const { prompt_tokens, completion_tokens } = answer.usage
    cost += costMicros(candidate, prompt_tokens, completion_tokens)
    calls.push({
      versionKey: candidate.key,
      backend: backend?.id ?? '',
      promptTokens: prompt_tokens,
      completionTokens: completion_tokens,
    })
    const accepted = isLast || (plan.accepts?.(candidate, answer.text) ?? true)
    call.decision.note(`${candidate.key} ${accepted ? 'accepted' : 'not good enough'}`)
    if (accepted) return Ok({ answer, candidate, calls, cost })
  }
  return Err(failure)
}

function toRecord(
  node: RouterNode,
  call: Call,
  calls: readonly BackendCall[],
  cost: number,
): BillingRecord {
  return {
    requestId: call.requestId,
    workspace: call.workspace.name,
    classKey: call.classKey,
    calls: [...calls],
    costMicros: cost,
    atMs: node.wallClock(),
  }
}
