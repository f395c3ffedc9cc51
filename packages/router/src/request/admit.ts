/** Admits a call or gives its final refusal at once. */
import { notRun, type Refusal } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'

const LEDGER_RETRY_MS = 5_000

/** Checks the room for billing records, then asks the admission policy. */
export function admit(node: RouterNode, call: Call): Refusal | undefined {
  if (!node.ledger.hasRoom) {
    const message = 'Billing records wait for the platform; no room for more.'
    return notRun('ledger_full', message, LEDGER_RETRY_MS)
  }
  return node.policies.admit({
    workspace: call.workspace.name,
    priority: call.cls.priority,
    inProgress: node.inProgress,
  })
}
