/** Sends a request to a backend server and tries another one where that is safe. */
import {
  Err,
  notRun,
  refuse,
  type Refusal,
  type Result,
  type RunState,
} from '@wagtailway/core'
import type { Backend } from '../backend/backendTable.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 3

const NO_BACKEND_RETRY_MS = 1_000

export interface DispatchOptions<T> {
  readonly node: RouterNode
  readonly call: Call
  /** Backend servers that could answer now. */
  readonly backends: () => readonly Backend[]
  /** Checked right before each attempt. */
  readonly mayDispatch: () => boolean
  /** Sends the request once. */
  readonly attempt: (backend: Backend) => Promise<Result<T, Refusal>>
  /** Whether the request may be repeated after it may have run. */
  readonly repeatable: () => boolean
}

/** A result and the backend server that gave it. */
export interface Dispatched<T> {
  readonly outcome: Result<T, Refusal>
  readonly backend: Backend | undefined
}

/** Runs attempts until one succeeds or a repeat is not safe. */
export async function dispatch<T>(opts: DispatchOptions<T>): Promise<Dispatched<T>> {
  const { node, call } = opts
  const tried = new Set<string>()
  let ran: RunState = 'not_run'
  let last: Dispatched<T> | undefined
  node.retryBudget.deposit()
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    if (last && !mayRetry(opts, last, ran)) break
    const backend = chooseBackend(opts, tried)
    if (!backend) break
    if (!opts.mayDispatch()) return { outcome: Err(stale(ran)), backend }
    tried.add(backend.instance.id)
    last = { outcome: await counted(backend, opts.attempt), backend }
    if (last.outcome.ok) return last
    ran = worse(ran, last.outcome.val.ran)
  }
  if (!last) return { outcome: Err(noBackend()), backend: undefined }
  return { ...last, outcome: withRunState(last.outcome, abortedReason(call), ran) }
}

function mayRetry<T>(
  { node, call, repeatable }: DispatchOptions<T>,
  last: Dispatched<T>,
  ran: RunState,
): boolean {
  if (last.outcome.ok || call.signal.aborted) return false
  if (ran !== 'not_run' && !repeatable()) return false
  if (!node.retryBudget.withdraw()) return false
  node.metrics.retries.inc({ reason: last.outcome.val.reason })
  return true
}

function chooseBackend<T>(
  { node, backends }: DispatchOptions<T>,
  tried: ReadonlySet<string>,
): Backend | undefined {
  const open = backends().filter(({ instance }) => !tried.has(instance.id))
  const view = node.policies.chooseReplica({
    replicas: open.map((backend) => backend.view()),
    zone: node.cfg.zone,
    random: node.random,
  })
  return open.find(({ instance }) => instance.id === view?.id)
}

async function counted<T>(
  backend: Backend,
  attempt: (backend: Backend) => Promise<Result<T, Refusal>>,
): Promise<Result<T, Refusal>> {
  backend.inFlight += 1
  try {
    return await attempt(backend)
  } finally {
    backend.inFlight -= 1
  }
}

/** What is known after two attempts: one that may have run makes the whole unknown. */
function worse(a: RunState, b: RunState): RunState {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run'
}

function abortedReason(call: Call): 'deadline_exceeded' | undefined {
  return call.abortReason() === 'deadline' ? 'deadline_exceeded' : undefined
}

function withRunState<T>(
  outcome: Result<T, Refusal>,
  reason: 'deadline_exceeded' | undefined,
  ran: RunState,
): Result<T, Refusal> {
  if (outcome.ok) return outcome
  return Err({ ...outcome.val, ran, reason: reason ?? outcome.val.reason })
}

function stale(ran: RunState): Refusal {
  const message = 'The version was withdrawn or the configuration went stale.'
  return refuse('config_stale', ran, message, NO_BACKEND_RETRY_MS)
}

function noBackend(): Refusal {
  return notRun('no_backend', 'No backend server is live for this.', NO_BACKEND_RETRY_MS)
}
