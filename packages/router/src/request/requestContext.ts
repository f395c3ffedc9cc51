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
import { RESPONSE_HEADERS, CALLER_HEADERS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import type { Decision } from './decision.js'
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
  /** Record of what is decided about the call. */
  readonly decision: Decision
  /** When the call began, on the node's monotonic clock. */
  readonly startMs: number
  /** Time from the beginning to the first token, once it was passed on. */
  firstTokenMs: number | undefined
  /** Target of the time to the first token, in milliseconds. */
  readonly firstTokenTargetMs: number
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

/** Longest name of a session and longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 200

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
  const nonIdempotent = parseMark(req, CALLER_HEADERS.nonIdempotent)
  if (nonIdempotent.err) return nonIdempotent
  const tooLong = checkLengths(req)
  if (tooLong) return Err(tooLong)
  const requestId = randomUUID()
  res.setHeader(RESPONSE_HEADERS.requestId, requestId)
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
    nonIdempotent: nonIdempotent.val,
    decision: node.decisions.begin({
      requestId,
      node: node.cfg.node,
      class: classKey(workspace.name, cls.name),
      revision: node.config.revision,
    }),
    startMs: node.clock(),
    firstTokenMs: undefined,
    firstTokenTargetMs: cls.latency.firstTokenMs * node.cfg.targetScale,
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
  const ms = /^\d+$/.test(text) ? Number(text) : Number.NaN
  if (Number.isInteger(ms) && ms > 0 && ms <= MAX_DEADLINE_MS) return Ok(ms)
  const message = `${CALLER_HEADERS.deadlineMs} must be 1 to ${MAX_DEADLINE_MS} milliseconds.`
  return Err(notRun('bad_request', message))
}

/** A mark is `true` or `false`; anything else might hide a request that must not run twice. */
function parseMark(req: IncomingMessage, name: string): Result<boolean, Refusal> {
  const text = headerText(req, name) ?? 'false'
  if (text === 'true' || text === 'false') return Ok(text === 'true')
  return Err(notRun('bad_request', `${name} must be "true" or "false".`))
}

function checkLengths(req: IncomingMessage): Refusal | undefined {
  const names = [CALLER_HEADERS.session, CALLER_HEADERS.idempotencyKey]
  const name = names.find((n) => (headerText(req, n)?.length ?? 0) > MAX_KEY_LENGTH)
  if (name === undefined) return undefined
  return notRun('bad_request', `${name} may have at most ${MAX_KEY_LENGTH} characters.`)
}
