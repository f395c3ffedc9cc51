/** Steps common to all kinds of requests: shedding, identification, body and outcome. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Err, Ok, type EffectiveClass, type Refusal, type Result } from '@wagtailway/core'
import { readBody } from '../http/readBody.js'
import type { RouterNode } from '../routerNode.js'
import { createRequestContext, type RequestContext } from './requestContext.js'
import { identify, type Caller } from './identify.js'
import { describeOutcome } from './decisionEvents.js'

export interface Received {
  readonly caller: Caller
  readonly body: Buffer
}

/** Sheds the request if the process is overloaded; else identifies the caller and reads the body. */
export async function receiveRequest(
  node: RouterNode,
  req: IncomingMessage,
): Promise<Result<Received, Refusal>> {
  const shedRefusal = node.shed()
  if (shedRefusal) return Err(shedRefusal)
  const caller = identify(node, req)
  if (caller.err) return caller
  const body = await readBody(req, node.cfg.maxBodyBytes)
  return body.err ? body : Ok({ caller: caller.val, body: body.val })
}

/** Serves a request of a class, records its outcome and releases its resources. */
export async function serveRequest(
  node: RouterNode,
  { req, res }: { req: IncomingMessage; res: ServerResponse },
  { workspace }: Caller,
  cls: EffectiveClass,
  serve: (ctx: RequestContext) => Promise<Result<undefined, Refusal>>,
): Promise<Result<undefined, Refusal>> {
  const ctx = createRequestContext(node, req, res, workspace, cls)
  if (ctx.err) return ctx
  try {
    const outcome = await serve(ctx.val)
    ctx.val.decision.outcome = describeOutcome(outcome)
    return outcome
  } finally {
    ctx.val.close()
  }
}
