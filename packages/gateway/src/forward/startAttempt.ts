/** Starts the attempts of requests. */
import type { BackendServer } from '../model/backendServer.js'
import type { ServerLimit } from '../limits/serverLimits.js'
import type { RequestInFlight } from '../quarantine/requestsInFlight.js'
import type { Placement } from '../placement/selectPlacement.js'
import { expectedWaitMs } from '../placement/serverLoad.js'
import { Attempt } from './attempt.js'
import type { RequestContext } from './requestContext.js'
import type { AttemptLogEntry } from './requestLog.js'
import type { RequestContextOptions } from './requestOptions.js'
import { affinityKey, sharedParts } from './requestPlacement.js'

/** Size up to which a body is taken by its socket at once, in bytes. */
const SOCKET_BYTES = 65_536

/** An attempt in progress, with what is recorded about it. */
export interface TrackedAttempt {
  readonly attempt: Attempt
  readonly placement: Placement
  readonly logEntry: AttemptLogEntry
  readonly inFlight: RequestInFlight
  /** When it was sent, on the monotonic clock. */
  readonly sentAtMs: number
  /** Expected prefill time of the prompts queued ahead of this one, in milliseconds. */
  readonly queuedPrefillMs: number
  /** Records that the server has prefilled the prompt; only the first call counts. */
  recordPrefillDone(): void
  /** Records the attempt's result and releases its load; only the first call counts. */
  complete(result: string): void
}

/**
 * Sends the request to a server.
 *
 * @param lastEventId Last event that the caller has; the server continues after it.
 *
 * @example
 * const tracked = startAttempt(ctx, placement, 'large', undefined)
 * const head = await tracked.attempt.head
 */
export function startAttempt(
  ctx: RequestContext,
  placement: Placement,
  model: string | undefined,
  lastEventId: number | undefined,
): TrackedAttempt {
  const { node, caller, service } = ctx.opts
  const { clock, load, metrics, rollouts, quarantine, cachedPrefixes, limiter, paths } =
    node.opts
  const { places } = node.opts
  const { server, prefillMs, urgency } = placement
  const sentAtMs = clock()
  if (!caller.res.headersSent) caller.state = 'server'
  const queuedPrefillMs = expectedWaitMs(load.total(server.id), urgency)
  const attempt = sendAttempt(ctx, placement, model, lastEventId)
  const logEntry: AttemptLogEntry = {
    server: server.id,
    version: server.version,
    model,
    sentAtMs: Math.round(sentAtMs - caller.arrivedAtMs),
    expectedMs: Math.round(placement.expectedFirstByteMs),
    ...describeLimit(limiter.find(server)),
    result: 'in_progress',
    tookMs: 0,
  }
  ctx.attemptLog.push(logEntry)
  const parts = sharedParts(ctx.opts)
  const inFlight = quarantine.begin(server, ctx.traits)
  load.begin(server.id, prefillMs, urgency)
  let isPrefillDone = false
  const recordPrefillDone = (): void => {
    if (isPrefillDone) return
    isPrefillDone = true
    const key = affinityKey(parts, model)
    if (key !== undefined) cachedPrefixes.record(server.id, key)
    load.prefillDone(server.id, prefillMs, urgency)
  }
  let isComplete = false
  const complete = (result: string): void => {
    if (isComplete) return
    isComplete = true
    undoRelease()
    if (!isPrefillDone) load.prefillDone(server.id, prefillMs, urgency)
    isPrefillDone = true
    load.end(server.id)
    places.release(server)
    inFlight.end()
    logEntry.result = result
    if (attempt.relay !== undefined) {
      const lostAtMs = paths.get(server.id)?.sinceMs
      logEntry.via = attempt.relay
      logEntry.pathLostForMs = lostAtMs && Math.round(clock() - lostAtMs)
    }
    logEntry.tookMs = Math.round(clock() - sentAtMs)
    metrics.attempts.inc({ result })
  }
  // An error may have ended the request before its attempt.
  const undoRelease = caller.defer(() => {
    attempt.cancel()
    complete('failed_inside')
  })
  const { sessionKey } = caller.metadata
  if (sessionKey !== undefined && isOldVersion(ctx.opts, server))
    rollouts.recentSessions.recordUse(service.name, sessionKey)
  if (ctx.attemptLog.length === 1) node.retryBudget(service.name).recordRequest()
  return {
    attempt,
    placement,
    logEntry,
    inFlight,
    sentAtMs,
    queuedPrefillMs,
    recordPrefillDone,
    complete,
  }
}

function sendAttempt(
  ctx: RequestContext,
  { server, urgency }: Placement,
  model: string | undefined,
  lastEventId: number | undefined,
): Attempt {
  const { node, caller, workspace, body, bodyHold, route, service } = ctx.opts
  const { dialect, connections, limiter, statements, dialer } = node.opts
  // A request that must not run twice gets a connection that was never used before.
  const keepAlive = route.kind !== 'once'
  const attempt: Attempt = Attempt.start({
    host: server.host,
    port: server.port,
    agent: connections.agentFor(server, keepAlive && !ctx.retries.needsNewConnection),
    method: caller.req.method ?? 'GET',
    path: caller.req.url ?? '/',
    headers: dialect.backendRequestHeaders(caller.req.rawHeaders, {
      serverId: server.id,
      remainingMs: Math.max(1, Math.floor(ctx.timeToDeadlineMs)),
      workspace: workspace?.name,
      model,
      urgency: service.models.length === 0 ? undefined : urgency,
      lastEventId,
      bodyBytes: body.reduce((sum, { length }) => sum + length, 0),
      keepAlive,
    }),
    body,
    requestId: caller.metadata.requestId,
    readResponseMetadata: dialect.readResponse,
    onResponseHead: (status, { rateLimit, said }) => {
      limiter.observe(server, status, rateLimit)
      statements.observe(server, status, said, attempt.relay)
      dialer.recordResponse(server, attempt.relay)
    },
  })
  // A server may answer long before it reads the body; a small one is in the socket by then.
  if (bodyHold.heldBytes > SOCKET_BYTES) attempt.onBodySent(bodyHold.retain())
  return attempt
}

/** The limit under which an attempt was sent, for the log. */
function describeLimit(
  limit: ServerLimit | undefined,
): Pick<AttemptLogEntry, 'limitPerS' | 'limitAgeMs'> {
  if (!limit) return {}
  return { limitPerS: limit.requestsPerS, limitAgeMs: Math.round(limit.ageMs) }
}

function isOldVersion(
  { node, service }: RequestContextOptions,
  { version }: BackendServer,
): boolean {
  const rollout = node.opts.rollouts.get(service.name)
  return rollout?.state !== 'running' || rollout.target !== version
}
