/** Handles one caller request from its arrival to its response. */
import { bindOwner } from '@wagtailway/core'
import type { GatewayNode, ActiveConfig } from '../gatewayNode.js'
import { findInvalidRequestHead } from '../http/validateHead.js'
import type { MemoryHold, MemoryShare } from '../memory/memoryShare.js'
import type { Route, Workspace } from '../model/config.js'
import { NO_SERVER_RETRY_AFTER_MS, type Caller, type RefusalReason } from './caller.js'
import { admitRequest } from './admitRequest.js'
import { forwardStream } from './forwardStream.js'
import { forwardBuffered } from './forwardBuffered.js'
import { RequestContext } from './requestContext.js'
import { memoryHolderOf } from './requestOptions.js'

/**
 * Retry delay sent by an instance that has no configuration yet, in milliseconds: startup
 * takes a few hundred, and the retry may reach another instance.
 */
const NO_CONFIG_RETRY_AFTER_MS = 600

/**
 * Retry delay sent by an instance that is shutting down, in milliseconds: short, because
 * another instance takes the retry.
 */
const OTHER_INSTANCE_RETRY_AFTER_MS = 20

/**
 * Size of bodies, in bytes, that are not watched for standing still while no more than a
 * share of the memory is held.
 */
const SMALL_BODY_BYTES = 16_384
const UNWATCHED_RATIO = 0.25

/** Time between a request's deadline and the stop in which it is told, in milliseconds. */
const STOP_MARGIN_MS = 100

const RETRY_AFTER_MS_BY_REASON: Readonly<Partial<Record<RefusalReason, number>>> = {
  no_configuration: NO_CONFIG_RETRY_AFTER_MS,
  shutting_down: OTHER_INSTANCE_RETRY_AFTER_MS,
  no_server: NO_SERVER_RETRY_AFTER_MS,
  zones_evacuated: NO_SERVER_RETRY_AFTER_MS,
}

/** Result of checking a request: what it matched, or why it is refused. */
type Admission =
  | {
      readonly type: 'admitted'
      readonly activeConfig: ActiveConfig
      readonly route: Route
      readonly workspace: Workspace | undefined
    }
  | { readonly type: 'refused'; readonly reason: RefusalReason }

/**
 * Checks one request, then forwards or refuses it.
 *
 * @example
 * await handleRequest(node, Caller.create(req, res, dialect, clock()))
 */
export async function handleRequest(node: GatewayNode, caller: Caller): Promise<void> {
  const initialAdmission = admit(node, caller)
  if (initialAdmission.type === 'refused') {
    refuse(node, caller, initialAdmission.reason)
    return
  }
  const { workspace, route, activeConfig } = initialAdmission
  const timeoutMs = Math.min(route.timeoutMs, caller.metadata.remainingMs ?? Infinity)
  node.lastDeadlineMs = Math.max(node.lastDeadlineMs, caller.arrivedAtMs + timeoutMs)
  const hold = node.memory.bodies.open(memoryHolderOf(workspace, route))
  caller.defer(() => {
    hold.close()
  })
  try {
    const { maxBodyBytes } = activeConfig.cfg.limits
    const body = await readBody(node, caller, maxBodyBytes, hold)
    if (!body) return
    // A body is read before: a connection that isn't read doesn't tell that it was closed.
    if (!(await caller.awaitTurn()) || (await caller.hasLeft()))
      node.opts.metrics.requests.inc({ outcome: 'caller_left' })
    else await forward(node, caller, body, hold)
  } finally {
    hold.close()
  }
}

/**
 * Reads the body of a request; answers the request and returns `undefined` if it can't be
 * read.
 */
async function readBody(
  node: GatewayNode,
  caller: Caller,
  maxBytes: number,
  hold: MemoryHold,
): Promise<readonly Buffer[] | undefined> {
  const { bodies } = node.memory
  let hasStalled = false
  if (isWorthWatching(node.memory.bodies, caller.bodyBytes)) {
    hold.watch({
      progress: () => caller.req.socket.bytesRead,
      end: bindOwner((stalledMs) => {
        hasStalled = true
        const { heldBytes } = hold
        const { requestId: id } = caller.metadata
        node.opts.log('body_stalled', { id, stalledMs: Math.round(stalledMs), heldBytes })
        node.opts.metrics.stalledTransfers.inc({ kind: 'body' })
        caller.closeOnRefusal()
        refuse(node, caller, 'no_memory', bodies.returnDelayMs(heldBytes))
      }),
    })
  }
  const body = await caller.readBody(maxBytes, hold)
  hold.unwatch()
  if (hasStalled) return undefined
  if (body.type === 'too_large' || body.type === 'too_fragmented') {
    refuse(node, caller, `body_${body.type}`)
    return undefined
  }
  if (body.type === 'no_memory') {
    refuse(node, caller, 'no_memory', bodies.returnDelayMs(body.neededBytes))
    return undefined
  }
  if (body.type !== 'complete' || caller.hasDisconnected) {
    node.opts.metrics.requests.inc({ outcome: 'caller_left' })
    return undefined
  }
  return body.blocks
}

/** Whether a body that stands still could take memory from others. */
function isWorthWatching(bodies: MemoryShare, bodyBytes = Infinity): boolean {
  if (bodyBytes > SMALL_BODY_BYTES) return true
  return bodyBytes > 0 && bodies.heldBytes > bodies.maxBytes * UNWATCHED_RATIO
}

/** Forwards a request whose body has been read. */
async function forward(
  node: GatewayNode,
  caller: Caller,
  body: readonly Buffer[],
  bodyHold: MemoryHold,
): Promise<void> {
  // The configuration may have changed while the body was read.
  const admission = admit(node, caller)
  if (admission.type === 'refused') {
    refuse(node, caller, admission.reason)
    return
  }
  const { activeConfig, route, workspace } = admission
  if (mayOutlastProcess(node, caller, route)) {
    refuse(node, caller, 'shutting_down')
    return
  }
  const service = activeConfig.cfg.services.get(selectService(node, route))
  if (!service) {
    refuse(node, caller, 'no_server')
    return
  }
  const { servers, evacuations } = node.opts
  if (evacuations.areAllEvacuated(servers.ready(service.name))) {
    refuse(node, caller, 'zones_evacuated')
    return
  }
  const { cfg } = activeConfig
  const ctx = RequestContext.create({
    node,
    caller,
    cfg,
    route,
    service,
    workspace,
    body,
    bodyHold,
  })
  const forwardRequest = route.kind === 'stream' ? forwardStream : forwardBuffered
  ctx.finish(admitRequest(ctx) ?? (await forwardRequest(ctx)))
}

function admit(node: GatewayNode, caller: Caller): Admission {
  const { activeConfig } = node
  if (!activeConfig) return { type: 'refused', reason: 'no_configuration' }
  const url = caller.req.url ?? ''
  const { host } = caller.req.headers
  if (!url.startsWith('/') || host === undefined) {
    return { type: 'refused', reason: 'bad_request' }
  }
  if (findInvalidRequestHead(url, caller.req.rawHeaders) !== undefined) {
    return { type: 'refused', reason: 'bad_request' }
  }
  const route = activeConfig.routes.find(host, url.split('?', 1)[0] ?? url)
  if (!route) return { type: 'refused', reason: 'no_route' }
  const keys = activeConfig.cfg.workspaceByKey
  const workspace = keys?.get(caller.metadata.apiKey ?? '')
  if (keys && !workspace && !route.isPublic) {
    return { type: 'refused', reason: 'unknown_key' }
  }
  if (!hasModel(route, caller.metadata.model)) {
    return { type: 'refused', reason: 'unknown_model' }
  }
  return { type: 'admitted', activeConfig, route, workspace }
}

/** Whether a route has the model that a caller names, or chooses no model itself. */
function hasModel({ models }: Route, model: string | undefined): boolean {
  return models.length === 0 || model === undefined || models.includes(model)
}

/** Whether the process may stop before a request has its answer. */
function mayOutlastProcess(
  { stopsAtMs }: GatewayNode,
  { metadata, arrivedAtMs }: Caller,
  { timeoutMs }: Route,
): boolean {
  if (stopsAtMs === undefined) return false
  const lastsMs = Math.min(timeoutMs, metadata.remainingMs ?? timeoutMs)
  return arrivedAtMs + lastsMs + STOP_MARGIN_MS > stopsAtMs
}

function selectService(node: GatewayNode, route: Route): string {
  const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = node.opts.random() * totalWeight
  for (const { service, weight } of route.shares) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return route.shares.at(-1)?.service ?? ''
}

function refuse(
  node: GatewayNode,
  caller: Caller,
  reason: RefusalReason,
  retryAfterMs = RETRY_AFTER_MS_BY_REASON[reason],
): void {
  const { log, metrics, clock } = node.opts
  const status = caller.refuse(reason, retryAfterMs)
  metrics.requests.inc({ outcome: 'refused' })
  metrics.refusals.inc({ reason })
  log('request', {
    id: caller.metadata.requestId,
    host: caller.req.headers.host,
    path: caller.req.url,
    config: node.activeConfig?.cfg.version,
    configAgeMs:
      node.activeConfig && Math.round(clock() - node.activeConfig.activeSinceMs),
    outcome: 'refused',
    status,
    reason,
  })
}
