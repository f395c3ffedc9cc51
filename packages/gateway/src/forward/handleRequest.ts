/** One request from its arrival to its answer. */
import type { GatewayNode, ConfigInForce } from '../gatewayNode.js'
import type { Route, Workspace } from '../model/config.js'
import { NO_SERVER_RETRY_MS, type Caller, type OwnReason } from './caller.js'
import { forwardStream } from './forwardStream.js'
import { forwardWhole } from './forwardBuffered.js'
import { RequestContext } from './requestContext.js'

/**
 * When a caller comes back to an instance that has no configuration yet, in milliseconds:
 * a start takes some hundred, and the caller may reach another instance.
 */
const NO_CONFIG_RETRY_MS = 600

/** When a caller comes back to another instance, in milliseconds. */
const OTHER_INSTANCE_RETRY_MS = 20

const RETRY_MS: Readonly<Partial<Record<OwnReason, number>>> = {
  no_configuration: NO_CONFIG_RETRY_MS,
  shutting_down: OTHER_INSTANCE_RETRY_MS,
  no_server: NO_SERVER_RETRY_MS,
}

/** What a request is checked against; `reason` says why it is refused. */
type Admission =
  | {
      readonly type: 'admitted'
      readonly inForce: ConfigInForce
      readonly route: Route
      readonly workspace: Workspace | undefined
    }
  | { readonly type: 'refused'; readonly reason: OwnReason }

/**
 * Checks, forwards and answers one request.
 *
 * @example
 * await handleRequest(node, Caller.create(req, res, dialect, clock()))
 */
export async function handleRequest(node: GatewayNode, caller: Caller): Promise<void> {
  const maxBodyBytes = node.inForce?.cfg.limits.maxBodyBytes ?? 0
  const early = admit(node, caller)
  if (early.type === 'refused') {
    refuse(node, caller, early.reason)
    return
  }
  const body = await caller.readBody(maxBodyBytes)
  if (body === 'too_large') {
    refuse(node, caller, 'body_too_large')
    return
  }
  if (body === 'broken' || caller.hasLeft) {
    node.opts.metrics.requests.inc({ outcome: 'caller_left' })
    return
  }
  // A slow body may have arrived under an older configuration than is in force now.
  const admission = admit(node, caller)
  if (admission.type === 'refused') {
    refuse(node, caller, admission.reason)
    return
  }
  const { inForce, route, workspace } = admission
  if (node.rejectsNewStreams && route.kind === 'stream') {
    refuse(node, caller, 'shutting_down')
    return
  }
  const service = inForce.cfg.services.get(pickService(node, route))
  if (!service) {
    refuse(node, caller, 'no_server')
    return
  }
  const { cfg } = inForce
  const ctx = RequestContext.create({
    node,
    caller,
    cfg,
    route,
    service,
    workspace,
    body,
  })
  ctx.finish(await (route.kind === 'stream' ? forwardStream(ctx) : forwardWhole(ctx)))
}

function admit(node: GatewayNode, caller: Caller): Admission {
  const { inForce } = node
  if (!inForce) return { type: 'refused', reason: 'no_configuration' }
  const url = caller.req.url ?? ''
  const { host } = caller.req.headers
  if (!url.startsWith('/') || host === undefined) {
    return { type: 'refused', reason: 'bad_request' }
  }
  const route = inForce.routes.find(host, url.split('?', 1)[0] ?? url)
  if (!route) return { type: 'refused', reason: 'no_route' }
  const keys = inForce.cfg.workspaceByKey
  const workspace = keys?.get(caller.facts.key ?? '')
  if (keys && !workspace && !route.isPublic) {
    return { type: 'refused', reason: 'unknown_key' }
  }
  return { type: 'admitted', inForce, route, workspace }
}

function pickService(node: GatewayNode, route: Route): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0)
  let point = node.opts.random() * total
  for (const { service, weight } of route.shares) {
    point -= weight
    if (point < 0) return service
  }
  return route.shares.at(-1)?.service ?? ''
}

function refuse(node: GatewayNode, caller: Caller, reason: OwnReason): void {
  const { log, metrics, clock } = node.opts
  const retryMs = RETRY_MS[reason]
  const status = caller.refuse(reason, retryMs)
  metrics.requests.inc({ outcome: 'refused' })
  metrics.refusals.inc({ reason })
  log('request', {
    id: caller.facts.requestId,
    host: caller.req.headers.host,
    path: caller.req.url,
    config: node.inForce?.cfg.version,
    configAgeMs: node.inForce && Math.round(clock() - node.inForce.sinceMs),
    outcome: 'refused',
    status,
    reason,
  })
  // What is left of the body is read and dropped, so that the connection can be used on.
  caller.req.resume()
}
