/** One request to a plain service: identify, admit, claim, dispatch, respond. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Err, Ok, notRun, refuse, type Refusal, type Result } from '@wagtailway/core'
import { readResponseBody } from '../backend/backendClient.js'
import { RESPONSE_HEADERS, CALLER_HEADERS, REQUEST_ID_HEADER } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import { admit } from './admit.js'
import type { RequestContext } from './requestContext.js'
import { claimRequest } from './claimRequest.js'
import { dispatch } from './dispatch.js'
import { findClass } from './identify.js'
import { recordAttempt } from './decisionEvents.js'
import { receiveRequest, serveRequest } from './receiveRequest.js'

/** Class of a request that names none. */
const DEFAULT_CLASS = 'default'

/** HTTP methods without side effects, which may always be retried. */
const SAFE_METHODS = new Set(['GET', 'HEAD'])

/** Range of response statuses that can be relayed to the caller. */
const MIN_STATUS = 200
const MAX_STATUS = 599

interface ServiceResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** Routes a request to `/v1/services/NAME/PATH` to a live instance of the service. */
export async function handleServiceRequest(
  node: RouterNode,
  req: IncomingMessage,
  res: ServerResponse,
  service: string,
  path: string,
): Promise<Result<undefined, Refusal>> {
  const received = await receiveRequest(node, req)
  if (received.err) return received
  const { caller, body } = received.val
  const cls = findClass(caller, req, DEFAULT_CLASS)
  if (cls.err) return cls
  if (!cls.val.services.includes(service)) {
    const message = `Class "${cls.val.name}" may not call service "${service}".`
    return Err(notRun('service_not_allowed', message))
  }
  return serveRequest(node, { req, res }, caller, cls.val, (ctx) =>
    serve(node, ctx, service, path, body),
  )
}

async function serve(
  node: RouterNode,
  ctx: RequestContext,
  service: string,
  path: string,
  body: Buffer,
): Promise<Result<undefined, Refusal>> {
  const refusal = admit(node, ctx)
  if (refusal) return Err(refusal)
  const claim = await claimRequest(node, ctx)
  if (claim.err) return claim
  const { outcome } = await dispatch({
    node,
    call: ctx,
    group: node.backends.forService(service),
    mayDispatch: () =>
      node.isInstanceListCurrent() && node.config.isFresh && claim.val.isValid(),
    attempt: ({ backend }) =>
      recordAttempt(ctx, backend, service, () =>
        attemptServiceRequest(node, ctx, backend.address, path, body),
      ),
    isRetryable: () => isServiceRetryable(node, ctx, service),
  })
  claim.val.settle(outcome)
  if (outcome.err) return outcome
  const serviceResponse = outcome.val
  ctx.res.writeHead(serviceResponse.status, {
    [RESPONSE_HEADERS.requestId]: ctx.requestId,
    'content-type': serviceResponse.contentType,
    'content-length': serviceResponse.body.length,
  })
  ctx.res.end(serviceResponse.body)
  node.metrics.requests.inc({ class: ctx.classKey, version: service })
  return Ok(undefined)
}

function isServiceRetryable(
  node: RouterNode,
  ctx: RequestContext,
  service: string,
): boolean {
  if (ctx.nonIdempotent) return false
  const isDeclaredIdempotent = node.config.current?.service(service)?.idempotent ?? false
  return isDeclaredIdempotent || SAFE_METHODS.has(ctx.req.method ?? '')
}

async function attemptServiceRequest(
  node: RouterNode,
  ctx: RequestContext,
  address: string,
  path: string,
  body: Buffer,
): Promise<Result<ServiceResponse, Refusal>> {
  const contentType = ctx.req.headers['content-type'] ?? 'application/octet-stream'
  const sent = await node.client.call({
    address,
    method: ctx.req.method ?? 'GET',
    path,
    headers: {
      'content-type': contentType,
      [REQUEST_ID_HEADER]: ctx.requestId,
      ...(ctx.idempotencyKey !== undefined && {
        [CALLER_HEADERS.idempotencyKey]: ctx.idempotencyKey,
      }),
    },
    body,
    progressTimeoutMs: node.cfg.progressTimeoutMs,
    signal: ctx.signal,
  })
  if (sent.err) return sent
  const { res, status } = sent.val
  if (status < MIN_STATUS || status > MAX_STATUS) {
    res.destroy()
    const message = `The backend server answered with the status ${status}.`
    return Err(refuse('backend_invalid', 'unknown', message))
  }
  const responseBody = await readResponseBody(sent.val)
  if (responseBody.err) return responseBody
  return Ok({
    status,
    contentType: res.headers['content-type'] ?? 'application/octet-stream',
    body: responseBody.val,
  })
}
