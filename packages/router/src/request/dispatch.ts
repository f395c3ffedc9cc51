/** Sends a request to a backend server and tries another one where that is safe. */
import {
  Err,
  notRun,
  refuse,
  type Refusal,
  type Result,
  type RunState,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { BackendGroup } from '../backend/backendTable.js'
import { takePlace, type Place } from '../backend/backendSlot.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 3

const RETRY_MS = 1_000

export interface DispatchOptions<T> {
  readonly node: RouterNode
  readonly call: Call
  /** Backend servers that could answer. */
  readonly group: BackendGroup | undefined
  /** Checked right before each attempt. */
  readonly mayDispatch: () => boolean
  /** Sends the request once. */
  readonly attempt: (place: Place) => Promise<Result<T, Refusal>>
  /** Whether the request may be repeated after it may have run. */
  readonly repeatable: () => boolean
}

/** A result and the backend server that gave it. */
export interface Dispatched<T> {
  readonly outcome: Result<T, Refusal>
  readonly backend?: Instance
}

/** Runs attempts until one succeeds or a repeat is not safe. */
export async function dispatch<T>(opts: DispatchOptions<T>): Promise<Dispatched<T>> {
  const { node, call } = opts
  const tried = new Set<string>()
  let ran: RunState = 'not_run'
  let last: Dispatched<T> = { outcome: Err(noBackend()) }
  node.retryBudget.deposit()
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    if (i > 0 && !mayRetry(opts, last.outcome, ran)) break
    const next = await attemptOnce(opts, tried)
    // A retry that finds no place says nothing new about the attempt before it.
    if (!next.backend && i > 0) break
    last = next
    if (next.outcome.ok || !next.backend) break
    ran = worse(ran, next.outcome.val.ran)
  }
  return { ...last, outcome: withRunState(call, last.outcome, ran) }
}

/** One attempt; without a backend server if none could be had. */
async function attemptOnce<T>(
  opts: DispatchOptions<T>,
  tried: Set<string>,
): Promise<Dispatched<T>> {
  const { node, call, group } = opts
  if (!group || group.size === 0) return { outcome: Err(noBackend()) }
  const placed = await takePlace(node, call, group, tried)
  if (placed.err) return { outcome: placed }
  const place = placed.val
  if (!opts.mayDispatch()) {
    place.release()
    return { outcome: Err(stale()) }
  }
  tried.add(place.backend.id)
  let ok: boolean | undefined
  try {
    const outcome = await opts.attempt(place)
    // A caller that goes away says nothing about the backend server.
    if (!call.signal.aborted) ok = outcome.ok
    return { outcome, backend: place.backend }
  } finally {
    place.release(ok)
  }
}

function mayRetry<T>(
  { node, call, repeatable }: DispatchOptions<T>,
  outcome: Result<T, Refusal>,
  ran: RunState,
): boolean {
  if (outcome.ok || call.signal.aborted) return false
  if (ran !== 'not_run' && !repeatable()) return false
  if (!node.retryBudget.withdraw()) return false
  node.metrics.retries.inc({ reason: outcome.val.reason })
  return true
}

/** What is known after two attempts: one that may have run makes the whole unknown. */
function worse(a: RunState, b: RunState): RunState {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run'
}

function withRunState<T>(
  call: Call,
  outcome: Result<T, Refusal>,
  ran: RunState,
): Result<T, Refusal> {
  if (outcome.ok) return outcome
  const isLate = call.abortReason() === 'deadline'
  const reason = isLate ? 'deadline_exceeded' : outcome.val.reason
  return Err({ ...outcome.val, reason, ran: worse(ran, outcome.val.ran) })
}

function stale(): Refusal {
  const message = 'The version was withdrawn or the configuration went stale.'
  return refuse('config_stale', 'not_run', message, RETRY_MS)
}

function noBackend(): Refusal {
  return notRun('no_backend', 'No backend server is live for this.', RETRY_MS)
}
