/** Sends a request to a backend server and retries at another one where that is safe. */
import {
  Err,
  nextPoll,
  notRun,
  refuse,
  type Refusal,
  type Result,
  type RunState,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { BackendGroup } from '../backend/backendTable.js'
import { acquireSlot, type BackendSlot } from '../backend/backendSlot.js'
import type { RouterNode } from '../routerNode.js'
import type { RequestContext } from './requestContext.js'

/** Most attempts of one request, including the first. */
const MAX_ATTEMPTS = 3

/** Delay before a caller should retry if the request could not be sent, in milliseconds. */
const RETRY_AFTER_MS = 1_000

export interface DispatchOptions<T> {
  readonly node: RouterNode
  /** Context of the request to send. */
  readonly call: RequestContext
  /** Backend servers that can serve the request. */
  readonly group: BackendGroup | undefined
  /** Checked immediately before each attempt. */
  readonly mayDispatch: () => boolean
  /** Sends the request once. */
  readonly attempt: (slot: BackendSlot) => Promise<Result<T, Refusal>>
  /** Whether the request may be retried after an attempt that may have run. */
  readonly isRetryable: () => boolean
}

/** The outcome of the last attempt and its backend server, if it reached one. */
export interface Dispatched<T> {
  readonly outcome: Result<T, Refusal>
  readonly backend?: Instance
}

/** Runs attempts until one succeeds or no further retry is allowed. */
export async function dispatch<T>(opts: DispatchOptions<T>): Promise<Dispatched<T>> {
  const { node, call: ctx } = opts
  const excluded = new Set<string>()
  let ran: RunState = 'not_run'
  let lastResult: Dispatched<T> = { outcome: Err(noBackendRefusal()) }
  node.retryBudget.deposit()
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    if (i > 0 && !mayRetry(opts, lastResult.outcome, ran)) break
    const result = await attemptOnce(opts, excluded)
    // A retry without a backend server must not hide the outcome of the previous attempt.
    if (!result.backend && i > 0) break
    lastResult = result
    if (result.outcome.ok || !result.backend) break
    ran = worseRunState(ran, result.outcome.val.ran)
  }
  return { ...lastResult, outcome: withRunState(ctx, lastResult.outcome, ran) }
}

/** Runs one attempt; the result has no backend server if the request was not sent. */
async function attemptOnce<T>(
  opts: DispatchOptions<T>,
  excluded: Set<string>,
): Promise<Dispatched<T>> {
  const { node, call: ctx, group } = opts
  if (!group || group.size === 0) return { outcome: Err(noBackendRefusal()) }
  // The caller may have left before the process has read its request.
  await nextPoll()
  if (ctx.signal.aborted) return { outcome: Err(endedRefusal()) }
  const acquired = await acquireSlot(node, ctx, group, excluded)
  if (acquired.err) return { outcome: acquired }
  const slot = acquired.val
  if (!opts.mayDispatch()) {
    slot.release()
    return { outcome: Err(staleRefusal()) }
  }
  excluded.add(slot.backend.id)
  let ok: boolean | undefined
  try {
    const outcome = await opts.attempt(slot)
    // A caller disconnect or a passed deadline is no evidence about the backend server.
    if (!ctx.signal.aborted) ok = outcome.ok
    return { outcome, backend: slot.backend }
  } finally {
    slot.release(ok)
  }
}

function mayRetry<T>(
  { node, call: ctx, isRetryable }: DispatchOptions<T>,
  outcome: Result<T, Refusal>,
  ran: RunState,
): boolean {
  if (outcome.ok || ctx.signal.aborted) return false
  if (ran !== 'not_run' && !isRetryable()) return false
  if (!node.retryBudget.withdraw()) return false
  node.metrics.retries.inc({ reason: outcome.val.reason })
  return true
}

/** Combines the run states of two attempts: `ran` wins over `unknown`, that over `not_run`. */
function worseRunState(a: RunState, b: RunState): RunState {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run'
}

function withRunState<T>(
  ctx: RequestContext,
  outcome: Result<T, Refusal>,
  ran: RunState,
): Result<T, Refusal> {
  if (outcome.ok) return outcome
  const isLate = ctx.abortReason() === 'deadline'
  const reason = isLate ? 'deadline_exceeded' : outcome.val.reason
  return Err({ ...outcome.val, reason, ran: worseRunState(ran, outcome.val.ran) })
}

function staleRefusal(): Refusal {
  const message = 'The version was withdrawn or the configuration went stale.'
  return refuse('config_stale', 'not_run', message, RETRY_AFTER_MS)
}

function endedRefusal(): Refusal {
  return notRun('deadline_exceeded', 'The request ended before it was sent.')
}

function noBackendRefusal(): Refusal {
  return notRun('no_backend', 'No backend server is live for this.', RETRY_AFTER_MS)
}
