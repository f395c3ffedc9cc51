/** What every request goes through before its kind matters, and what ends it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Err, Ok, type EffectiveClass, type Refusal, type Result } from '@wagtailway/core'
import { readBody } from '../http/readBody.js'
import type { RouterNode } from '../routerNode.js'
import { createCall, type Call } from './requestContext.js'
import { identify, type Caller } from './identify.js'
import { describeOutcome } from './decisionEvents.js'

export interface Received {
  readonly caller: Caller
  readonly body: Buffer
}

/** Refuses at once if the process can't keep up; else identifies the caller and reads the body. */
export async function receive(
  node: RouterNode,
  req: IncomingMessage,
): Promise<Result<Received, Refusal>> {
  const busy = node.shed()
  if (busy) return Err(busy)
  const caller = identify(node, req)
  if (caller.err) return caller
  const body = await readBody(req, node.cfg.maxBodyBytes)
  return body.err ? body : Ok({ caller: caller.val, body: body.val })
}

/** Serves a call of a class, notes its outcome and releases what the call holds. */
export async function serveCall(
  node: RouterNode,
  { req, res }: { req: IncomingMessage; res: ServerResponse },
  { workspace }: Caller,
  cls: EffectiveClass,
  serve: (call: Call) => Promise<Result<undefined, Refusal>>,
): Promise<Result<undefined, Refusal>> {
  const call = createCall(node, req, res, workspace, cls)
  if (call.err) return call
  try {
    const outcome = await serve(call.val)
    call.val.decision.outcome = describeOutcome(outcome)
    return outcome
  } finally {
    call.val.close()
  }
}
