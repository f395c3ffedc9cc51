/** Admits a request or refuses it immediately. */
import { notRun, type Refusal } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'

/** Delay before a caller should retry while the ledger is full, in milliseconds. */
const LEDGER_RETRY_MS = 5_000

/** Refuses if the ledger has no room for a billing record; else applies the admission policy. */
export function admit(node: RouterNode, ctx: RequestContext): Refusal | undefined {
  if (!node.ledger.hasRoom) {
    const message = 'Billing records wait for the platform; no room for more.'
    return notRun('ledger_full', message, LEDGER_RETRY_MS)
  }
  return node.policies.admit({
    workspace: ctx.workspace.name,
    priority: ctx.cls.priority,
    inProgress: node.inProgress,
  })
}
