/** Claims the idempotency key of a request that must run at most once. */
import {
  Err,
  Grant,
  Ok,
  notRun,
  refuse,
  type ClaimVerdict,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { CLAIM_TIMEOUT_MS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'

/** Delay before a caller should retry after a failed claim, in milliseconds. */
const CLAIM_RETRY_MS = 1_000

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 255

/** Permission to run a request. */
export interface RunPermit {
  /** Whether the request may be sent at this moment. */
  readonly isValid: () => boolean
  /** Records whether the request ran, for later claimants of its key. */
  readonly settle: (outcome: Result<unknown, Refusal>) => void
}

/** Permit of a request that may run any number of times. */
const UNLIMITED_PERMIT: RunPermit = { isValid: () => true, settle: () => undefined }

/** Claims the key of a non-idempotent request or refuses it; others need no claim. */
export async function claimRequest(
  node: RouterNode,
  ctx: RequestContext,
): Promise<Result<RunPermit, Refusal>> {
  if (!ctx.nonIdempotent) return Ok(UNLIMITED_PERMIT)
  const { idempotencyKey, requestId: holder } = ctx
  if (idempotencyKey === undefined || idempotencyKey.length > MAX_KEY_LENGTH) {
    const message = `A non-idempotent request needs an Idempotency-Key header of at most ${MAX_KEY_LENGTH} characters.`
    return Err(notRun('bad_request', message))
  }
  const key = `${ctx.workspace.name}/${idempotencyKey}`
  const grant = Grant.create({ claims: node.claims, key, holder, clock: node.clock })
  const claiming = grant.claim(CLAIM_TIMEOUT_MS)
  const verdict = await unlessAborted(ctx.signal, claiming)
  if (verdict === undefined) {
    void claiming.then(({ type }) => {
      if (type === 'granted') grant.finish('not_run')
    })
    const message = 'The deadline passed before the request was sent.'
    return Err(notRun('deadline_exceeded', message, CLAIM_RETRY_MS))
  }
  if (verdict.type !== 'granted') return Err(claimRefusal(verdict))
  return Ok({
    isValid: () => grant.isValid,
    settle: (outcome) => {
      grant.finish(outcome.ok ? 'ran' : outcome.val.ran)
    },
  })
}

function claimRefusal(verdict: Exclude<ClaimVerdict, { type: 'granted' }>): Refusal {
  if (verdict.type === 'unavailable') {
    const message = 'No claim on the Idempotency-Key could be made now.'
    return notRun('claim_unavailable', message, CLAIM_RETRY_MS)
  }
  if (verdict.done) {
    const message = 'A request with this Idempotency-Key has run.'
    return refuse('duplicate_request', 'ran', message)
  }
  const message = 'A request with this Idempotency-Key was taken on; it may be running.'
  return refuse('duplicate_request', 'unknown', message)
}

/** Resolves to the promise's value, or to `undefined` if the signal is aborted first. */
function unlessAborted<T>(
  signal: AbortSignal,
  promise: Promise<T>,
): Promise<T | undefined> {
  if (signal.aborted) return Promise.resolve(undefined)
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      resolve(undefined)
    }
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', onAbort)
    })
  })
}
