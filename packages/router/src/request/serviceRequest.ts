/** One call of a plain service: identify, admit, claim, dispatch, answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Err, Ok, notRun, refuse, type Refusal, type Result } from '@wagtailway/core'
import { readAnswer } from '../backend/backendClient.js'
import { RESPONSE_HEADERS, CALLER_HEADERS, REQUEST_ID_HEADER } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import { admit } from './admit.js'
import type { Call } from './requestContext.js'
import { claimRequest } from './claimRequest.js'
import { dispatch } from './dispatch.js'
import { findClass } from './identify.js'
import { noteAttempt } from './decisionEvents.js'
import { receive, serveCall } from './receiveRequest.js'

/** Class that is used if the caller names none. */
const DEFAULT_CLASS = 'default'

/** Methods whose repeat has no effect beyond the first run. */
const SAFE_METHODS = new Set(['GET', 'HEAD'])

/** Final statuses that can be passed on. */
const MIN_STATUS = 200
const MAX_STATUS = 599

interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** Routes a call of `/v1/services/NAME/PATH` to a live instance of the service. */
export async function handleServiceCall(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
  service: string,
  path: string,
): Promise<Result<undefined, Refusal>> {
  const received = await receive(node, req)
  if (received.err) return received
  const { caller, body } = received.val
  const cls = findClass(caller, req, DEFAULT_CLASS)
  if (cls.err) return cls
  if (!cls.val.services.includes(service)) {
    const message = `Class "${cls.val.name}" may not call service "${service}".`
    return Err(notRun('service_not_allowed', message))
  }
  return serveCall(node, { req, res }, caller, cls.val, (call) =>
    serve(node, call, service, path, body),
  )
}

async function serve(
  node: RouterNode,
  call: Call,
  service: string,
  path: string,
  body: Buffer,
): Promise<Result<undefined, Refusal>> {
  const refusal = admit(node, call)
  if (refusal) return Err(refusal)
  const claim = await claimRequest(node, call)
  if (claim.err) return claim
  const { outcome } = await dispatch({
    node,
    call,
    group: node.backends.ofService(service),
    mayDispatch: () =>
      node.isInstanceListCurrent() && node.config.isFresh && claim.val.isValid(),
    attempt: ({ backend }) =>
      noteAttempt(call, backend, service, () =>
        callOnce(node, call, backend.address, path, body),
      ),
    repeatable: () => isRepeatable(node, call, service),
  })
  claim.val.settle(outcome)
  if (outcome.err) return outcome
  const answer = outcome.val
  call.res.writeHead(answer.status, {
    [RESPONSE_HEADERS.requestId]: call.requestId,
    'content-type': answer.contentType,
    'content-length': answer.body.length,
  })
  call.res.end(answer.body)
  node.metrics.requests.inc({ class: call.classKey, version: service })
  return Ok(undefined)
}

function isRepeatable(node: RouterNode, call: Call, service: string): boolean {
  if (call.nonIdempotent) return false
  const declared = node.config.current?.service(service)?.idempotent ?? false
  return declared || SAFE_METHODS.has(call.req.method ?? '')
}

async function callOnce(
  node: RouterNode,
  call: Call,
  address: string,
  path: string,
  body: Buffer,
): Promise<Result<ServiceAnswer, Refusal>> {
  const contentType = call.req.headers['content-type'] ?? 'application/octet-stream'
  const called = await node.client.call({
    address,
    method: call.req.method ?? 'GET',
    path,
    headers: {
      'content-type': contentType,
      [REQUEST_ID_HEADER]: call.requestId,
      ...(call.idempotencyKey !== undefined && {
        [CALLER_HEADERS.idempotencyKey]: call.idempotencyKey,
      }),
    },
    body,
    progressTimeoutMs: node.cfg.progressTimeoutMs,
    signal: call.signal,
  })
  if (called.err) return called
  const { res, status } = called.val
  if (status < MIN_STATUS || status > MAX_STATUS) {
    res.destroy()
    const message = `The backend server answered with the status ${status}.`
    return Err(refuse('backend_invalid', 'unknown', message))
  }
  const read = await readAnswer(res)
  if (read.err) return read
  return Ok({
    status,
    contentType: res.headers['content-type'] ?? 'application/octet-stream',
    body: read.val,
  })
}
