/** Claims a request that must run at most once. */
import { Err, Ok, notRun, refuse, type Refusal, type Result } from '@wagtailway/core'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'

const CLAIM_RETRY_MS = 1_000

/** Grants a non-idempotent request its one run, or refuses it. */
export async function claimRequest(
  node: RouterNode,
  call: Call,
): Promise<Result<undefined, Refusal>> {
  if (!call.nonIdempotent) return Ok(undefined)
  if (call.idempotencyKey === undefined) {
    const message = 'A non-idempotent request needs an Idempotency-Key header.'
    return Err(notRun('bad_request', message))
  }
  const verdict = await node.claims.claim({
    key: `${call.workspace.name}/${call.idempotencyKey}`,
    holder: call.requestId,
    value: '',
  })
  if (verdict.type === 'granted') return Ok(undefined)
  if (verdict.type === 'unavailable') {
    const message = 'Non-idempotent requests are not taken while the platform is away.'
    return Err(notRun('claim_unavailable', message, CLAIM_RETRY_MS))
  }
  const message = 'A request with this Idempotency-Key was already taken on.'
  return Err(refuse('duplicate_request', 'unknown', message))
}
