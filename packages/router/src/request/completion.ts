/**
 * One chat completion from the caller's request to its response: identify, admit,
 * select versions, claim, dispatch, check, escalate, record, respond.
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
import type { RequestContext } from './requestContext.js'
import { selectVersions, mayDispatch } from './selectVersions.js'
import { claimRequest, type RunPermit } from './claimRequest.js'
import { attemptCompletion, type CompletionResult } from './attemptCompletion.js'
import { dispatch } from './dispatch.js'
import { checkModel, findClass } from './identify.js'
import { recordAttempt, recordPlan } from './decisionEvents.js'
import { prepareChat, type PreparedChat } from './prepareChat.js'
import { receiveRequest, serveRequest } from './receiveRequest.js'
import { recordCompletion } from './recordCompletion.js'

/** Serves one chat completion; a refusal is returned for the server to send. */
export async function handleCompletion(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<Result<undefined, Refusal>> {
  const received = await receiveRequest(node, req)
  if (received.err) return received
  const { caller, body } = received.val
  const chat = prepareChat(body)
  if (chat.err) return chat
  const cls = findClass(caller, req, chat.val.model)
  if (cls.err) return cls
  const modelRefusal = checkModel(cls.val, chat.val.model)
  if (modelRefusal) return Err(modelRefusal)
  return serveRequest(node, { req, res }, caller, cls.val, (ctx) =>
    serve(node, ctx, chat.val),
  )
}

async function serve(
  node: RouterNode,
  ctx: RequestContext,
  chat: PreparedChat,
): Promise<Result<undefined, Refusal>> {
  const refusal = admit(node, ctx)
  if (refusal) return Err(refusal)
  const plan = await selectVersions(node, ctx)
  if (plan.err) return plan
  const claim = await claimRequest(node, ctx)
  if (claim.err) return claim
  recordPlan(node, ctx, plan.val)
  const planResult = await runPlan(node, ctx, chat, plan.val, claim.val)
  claim.val.settle(planResult)
  if (planResult.err) return planResult
  const { completion, calls, cost, candidate } = planResult.val
  const record = toBillingRecord(node, ctx, calls, cost)
  await recordCompletion(node, ctx, { plan: plan.val, candidate, record })
  await completion.finish()
  return Ok(undefined)
}

interface PlanResult {
  readonly completion: CompletionResult
  readonly candidate: Candidate
  readonly calls: readonly BackendCall[]
  readonly cost: number
}

/** Tries the plan's versions in turn until an output is accepted or an attempt fails. */
async function runPlan(
  node: RouterNode,
  ctx: RequestContext,
  chat: PreparedChat,
  plan: VersionPlan,
  permit: RunPermit,
): Promise<Result<PlanResult, Refusal>> {
  const calls: BackendCall[] = []
  let cost = 0
  let failure: Refusal = notRun('no_version', 'The plan names no version.')
  for (const [i, candidate] of plan.steps.entries()) {
    const isLast = i === plan.steps.length - 1
    if (i > 0) node.metrics.escalations.inc({ class: ctx.classKey })
    const { outcome, backend } = await dispatch({
      node,
      call: ctx,
      group: node.backends.forVersion(candidate.key),
      mayDispatch: () => mayDispatch(node, candidate) && permit.isValid(),
      attempt: (slot) =>
        recordAttempt(ctx, slot.backend, candidate.key, () =>
          attemptCompletion(node, ctx, chat, candidate, slot, isLast),
        ),
      isRetryable: () => !ctx.nonIdempotent && !ctx.res.headersSent,
    })
    if (outcome.err) {
      failure = outcome.val
      break
    }
    const completion = outcome.val
    const { prompt_tokens, completion_tokens } = completion.usage
    cost += costMicros(candidate, prompt_tokens, completion_tokens)
    calls.push({
      versionKey: candidate.key,
      backend: backend?.id ?? '',
      promptTokens: prompt_tokens,
      completionTokens: completion_tokens,
    })
    const isAccepted = isLast || (plan.accepts?.(candidate, completion.text) ?? true)
    ctx.decision.note(`${candidate.key} ${isAccepted ? 'accepted' : 'not good enough'}`)
    if (isAccepted) return Ok({ completion, candidate, calls, cost })
  }
  return Err(failure)
}

function toBillingRecord(
  node: RouterNode,
  ctx: RequestContext,
  calls: readonly BackendCall[],
  cost: number,
): BillingRecord {
  return {
    requestId: ctx.requestId,
    workspace: ctx.workspace.name,
    classKey: ctx.classKey,
    calls: [...calls],
    costMicros: cost,
    atMs: node.wallClock(),
  }
}
