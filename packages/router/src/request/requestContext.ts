/** State of one caller request while it is served. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  ClientPresence,
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

export interface RequestContext {
  readonly requestId: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly workspace: EffectiveWorkspace
  readonly cls: EffectiveClass
  readonly classKey: string
  readonly idempotencyKey: string | undefined
  /** Whether the request must run at most once. */
  readonly nonIdempotent: boolean
  /** Record of the decisions about the request. */
  readonly decision: Decision
  /** When the request began on the node's monotonic clock, in milliseconds. */
  readonly startMs: number
  /** Time from the start until the first token was streamed to the caller, in milliseconds. */
  firstTokenMs: number | undefined
  /** Target for the time to first token, in milliseconds. */
  readonly firstTokenTargetMs: number
  /** Time from the start after which the request is aborted, in milliseconds. */
  readonly deadlineMs: number
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal
  /** Why the signal was aborted. */
  readonly abortReason: () => 'deadline' | 'caller_gone' | undefined
  /** Releases the request's timer and listener. */
  readonly close: () => void
}

/** Longest deadline that a caller may set, in milliseconds. */
const MAX_DEADLINE_MS = 3_600_000

/** Longest session name and longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 200

/** Creates the context from the headers; a caller disconnect or the deadline aborts it. */
export function createRequestContext(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
  workspace: EffectiveWorkspace,
  cls: EffectiveClass,
): Result<RequestContext, Refusal> {
  const deadline = parseDeadline(node, req)
  if (deadline.err) return deadline
  const nonIdempotent = parseFlag(req, CALLER_HEADERS.nonIdempotent)
  if (nonIdempotent.err) return nonIdempotent
  const lengthRefusal = checkLengths(req)
  if (lengthRefusal) return Err(lengthRefusal)
  const requestId = randomUUID()
  res.setHeader(RESPONSE_HEADERS.requestId, requestId)
  const controller = new AbortController()
  let reason: 'deadline' | 'caller_gone' | undefined
  const abortFor = (cause: 'deadline' | 'caller_gone'): void => {
    reason ??= cause
    controller.abort()
  }
  const timer = setTimeout(abortFor, deadline.val, 'deadline')
  const onClose = (): void => {
    if (!res.writableFinished) abortFor('caller_gone')
  }
  res.once('close', onClose)
  const presence = ClientPresence.of(req.socket)
  const undoOnLeave = presence.onLeave(onClose)
  if (presence.leftBy !== undefined) onClose()
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
    signal: controller.signal,
    abortReason: () => reason,
    close: () => {
      clearTimeout(timer)
      res.off('close', onClose)
      undoOnLeave()
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

/**
 * Parses a header that must be `true` or `false`. Any other value is refused, because
 * reading it as `false` could run a non-idempotent request twice.
 */
function parseFlag(req: IncomingMessage, name: string): Result<boolean, Refusal> {
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
