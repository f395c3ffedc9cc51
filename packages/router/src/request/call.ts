/** One request of a caller, parsed and admitted. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  Err,
  Ok,
  classKey,
  notRun,
  type EffectiveClass,
  type EffectiveWorkspace,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { CALLER_HEADERS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import { headerText } from './identify.js'

export interface Call {
  readonly requestId: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly workspace: EffectiveWorkspace
  readonly cls: EffectiveClass
  readonly classKey: string
  readonly idempotencyKey: string | undefined
  /** Whether the request must run at most once. */
  readonly nonIdempotent: boolean
  /** When the call began, on the node's monotonic clock. */
  readonly startMs: number
  /** Time from the start after which the answer is of no use, in milliseconds. */
  readonly deadlineMs: number
  /** Aborted when the caller goes away or the deadline passes. */
  readonly signal: AbortSignal
  /** Why the signal was aborted. */
  readonly abortReason: () => 'deadline' | 'caller_gone' | undefined
  /** Releases the timer and listeners of the call. */
  readonly close: () => void
}

const MAX_DEADLINE_MS = 3_600_000

/** Builds the call from headers; the caller's going away and the deadline abort it. */
export function createCall(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
  workspace: EffectiveWorkspace,
  cls: EffectiveClass,
): Result<Call, Refusal> {
  const deadline = parseDeadline(node, req)
  if (deadline.err) return deadline
  const nonIdempotent = headerText(req, CALLER_HEADERS.nonIdempotent) === 'true'
  const requestId = randomUUID()
  const abort = new AbortController()
  let reason: 'deadline' | 'caller_gone' | undefined
  const end = (cause: 'deadline' | 'caller_gone'): void => {
    reason ??= cause
    abort.abort()
  }
  const timer = setTimeout(end, deadline.val, 'deadline')
  const gone = (): void => {
    if (!res.writableFinished) end('caller_gone')
  }
  res.once('close', gone)
  return Ok({
    requestId,
    req,
    res,
    workspace,
    cls,
    classKey: classKey(workspace.name, cls.name),
    idempotencyKey: headerText(req, CALLER_HEADERS.idempotencyKey),
    nonIdempotent,
    startMs: node.clock(),
    deadlineMs: deadline.val,
    signal: abort.signal,
    abortReason: () => reason,
    close: () => {
      clearTimeout(timer)
      res.off('close', gone)
    },
  })
}

function parseDeadline(node: RouterNode, req: IncomingMessage): Result<number, Refusal> {
  const text = headerText(req, CALLER_HEADERS.deadlineMs)
  if (text === undefined) return Ok(node.cfg.defaultDeadlineMs)
  const ms = Number(text)
  if (Number.isInteger(ms) && ms > 0 && ms <= MAX_DEADLINE_MS) return Ok(ms)
  const message = `${CALLER_HEADERS.deadlineMs} must be 1 to ${MAX_DEADLINE_MS} milliseconds.`
  return Err(notRun('bad_request', message))
}
