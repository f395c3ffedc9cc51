/** Claims a request that must run at most once. */
import {
  Err,
  Ok,
  notRun,
  refuse,
  type ClaimVerdict,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { CLAIM_TIMEOUT_MS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'

const CLAIM_RETRY_MS = 1_000

/**
 * Time after the start of a claim in which its request may be sent, in milliseconds.
 * Far below the retention time, so that a process that was frozen in between finds
 * its grant lapsed while the key still stands.
 */
const GRANT_MS = 60_000

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 255

/** Leave for one run of a request. */
export interface Grant {
  /** Whether the request may be sent at this moment. */
  readonly isValid: () => boolean
  /** Says what became of the request, for later claimants of its key. */
  readonly settle: (outcome: Result<unknown, Refusal>) => void
}

/** Grant of a request that may run any number of times. */
const UNLIMITED: Grant = { isValid: () => true, settle: () => undefined }

/** Grants a non-idempotent request its one run, or refuses it. */
export async function claimRequest(
  node: RouterNode,
  call: Call,
): Promise<Result<Grant, Refusal>> {
  if (!call.nonIdempotent) return Ok(UNLIMITED)
  const { idempotencyKey } = call
  if (idempotencyKey === undefined || idempotencyKey.length > MAX_KEY_LENGTH) {
    const message = `A non-idempotent request needs an Idempotency-Key header of at most ${MAX_KEY_LENGTH} characters.`
    return Err(notRun('bad_request', message))
  }
  const key = `${call.workspace.name}/${idempotencyKey}`
  const startMs = node.clock()
  const request = { key, holder: call.requestId, value: '' }
  const claimed = node.claims.claim(request, CLAIM_TIMEOUT_MS)
  const verdict = await unlessAborted(call.signal, claimed)
  if (verdict === undefined) {
    void claimed.then(({ type }) => {
      if (type !== 'held') node.claims.note(key, call.requestId, 'given_up')
    })
    const message = 'The deadline passed before the request was sent.'
    return Err(notRun('deadline_exceeded', message, CLAIM_RETRY_MS))
  }
  // A write that was not confirmed may still stand; it must not block a repeat.
  if (verdict.type === 'unavailable') node.claims.note(key, call.requestId, 'given_up')
  if (verdict.type !== 'granted') return Err(refusalOf(verdict))
  return Ok({
    isValid: () => node.clock() - startMs < GRANT_MS,
    settle: (outcome) => {
      const ran = outcome.ok ? 'ran' : outcome.val.ran
      if (ran === 'ran') node.claims.note(key, call.requestId, 'done')
      // Nothing was sent and nothing will be: the caller may repeat the request.
      if (ran === 'not_run') node.claims.note(key, call.requestId, 'given_up')
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
