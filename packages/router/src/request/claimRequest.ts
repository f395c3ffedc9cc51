/** Claims a request that must run at most once. */
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
import type { Call } from './requestContext.js'

const CLAIM_RETRY_MS = 1_000

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 255

/** Leave to run a request. */
export interface RunLeave {
  /** Whether the request may be sent at this moment. */
  readonly isValid: () => boolean
  /** Says what became of the request, for later claimants of its key. */
  readonly settle: (outcome: Result<unknown, Refusal>) => void
}

/** Leave of a request that may run any number of times. */
const UNLIMITED: RunLeave = { isValid: () => true, settle: () => undefined }

/** Grants a non-idempotent request its one run, or refuses it. */
export async function claimRequest(
  node: RouterNode,
  call: Call,
): Promise<Result<RunLeave, Refusal>> {
  if (!call.nonIdempotent) return Ok(UNLIMITED)
  const { idempotencyKey, requestId: holder } = call
  if (idempotencyKey === undefined || idempotencyKey.length > MAX_KEY_LENGTH) {
    const message = `A non-idempotent request needs an Idempotency-Key header of at most ${MAX_KEY_LENGTH} characters.`
    return Err(notRun('bad_request', message))
  }
  const key = `${call.workspace.name}/${idempotencyKey}`
  const grant = Grant.create({ claims: node.claims, key, holder, clock: node.clock })
  const claimed = grant.claim(CLAIM_TIMEOUT_MS)
  const verdict = await unlessAborted(call.signal, claimed)
  if (verdict === undefined) {
    void claimed.then(({ type }) => {
      if (type === 'granted') grant.settle('not_run')
    })
    const message = 'The deadline passed before the request was sent.'
    return Err(notRun('deadline_exceeded', message, CLAIM_RETRY_MS))
  }
  if (verdict.type !== 'granted') return Err(refusalOf(verdict))
  return Ok({
    isValid: () => grant.isValid,
    settle: (outcome) => {
      grant.settle(outcome.ok ? 'ran' : outcome.val.ran)
    },
  })
}

function refusalOf(verdict: Exclude<ClaimVerdict, { type: 'granted' }>): Refusal {
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

/** What the promise gives, or `undefined` if the signal comes first. */
function unlessAborted<T>(
  signal: AbortSignal,
  promise: Promise<T>,
): Promise<T | undefined> {
  if (signal.aborted) return Promise.resolve(undefined)
  return new Promise((resolve, reject) => {
    const abort = (): void => {
      resolve(undefined)
    }
    signal.addEventListener('abort', abort, { once: true })
    promise.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', abort)
    })
  })
}
