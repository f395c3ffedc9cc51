/** Life cycle of one entry instance: start, run, drain, stop. */
import { setTimeout as sleep } from 'node:timers/promises'
import { callOwned, monotonicClock } from '@wagtailway/core'
import type { CascadeOptions } from '../cascade/cascade.js'
import { FeedExchange } from '../feed/feedExchange.js'
import type { FeedState } from '../feed/feedState.js'
import { DISCOVERY_MS, SMALL_FLEET_SIZE } from '../feed/pollSchedule.js'
import type { GatewayNode } from '../gatewayNode.js'
import { CallerServer } from '../http/callerServer.js'
import { recordClientLimit } from '../http/clientLimit.js'
import {
  PlainServer,
  type PlainRequest,
  type PlainResponse,
} from '../http/plainServer.js'
import type { SmallServerLimits } from '../http/smallServerGuard.js'
import type { MemoryBudget } from '../memory/memoryBudget.js'
import type { HeaderDialect } from '../model/requestMetadata.js'
import { reportFailure } from '../observe/failures.js'
import { describeError, type Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import { ROLLOUT_POLL_MS, RolloutController } from '../rollout/rolloutController.js'
import type { Rollout } from '../rollout/rolloutTable.js'
import { Sockets, type Listen, type SocketName } from '../sockets/sockets.js'
import { createNode } from './createNode.js'
import { createFeeds, type Feeds } from './feeds.js'
import { FeedFollower } from './feedFollower.js'
import { linkPeers } from './linkPeers.js'
import { Loop } from './loop.js'
import { relayConnections } from './relayConnections.js'
import { QuarantineStore } from './quarantineStore.js'
import { discoverInstances } from './discoverInstances.js'
import type { GatewaySettings } from './settings.js'
import type { FollowedKind, StorePort } from './storePort.js'

/**
 * Time for which new connections are still accepted after the request to shut down, in
 * milliseconds: the balancer checks readiness once a second and needs two failed checks.
 */
const READINESS_GRACE_MS = 2_600

/** Maximum share of the grace period for that, so that requests in progress have the rest. */
const MAX_READINESS_SHARE = 0.65

/** Share of the grace period in which requests in progress must complete. */
const GRACE_RATIO = 0.95

/**
 * Time for which the start waits for sockets beyond the grace period in which an earlier
 * process on this machine holds them, in milliseconds.
 */
const SOCKET_MARGIN_MS = 2_000

const METRICS_PATH = '/metrics'

export interface GatewayOptions<T> {
  readonly settings: GatewaySettings
  readonly cascade: CascadeOptions
  readonly dialect: HeaderDialect
  readonly store: StorePort<T>
  readonly log: Log
  readonly metrics: GatewayMetrics
  /** Resolves when the process has to shut down. */
  readonly shutdownRequested: Promise<void>
  /**
   * Resolves when somebody waits for the end, who allows it `graceMs`. A shutdown before lasts
   * until the last answer that is owed.
   *
   * @default shutdownRequested
   */
  readonly stopSignalled?: Promise<void>
  /**
   * Called before there can be requests.
   *
   * @param owedForMs Returns the time until the last answer that is owed is due, in
   *   milliseconds.
   */
  readonly onServing?: (owedForMs: () => number) => void
}

interface Closable {
  close(): void
}

/** How long a shutdown may take; times are on the monotonic clock. */
interface Drain {
  /** When all connections are closed; `undefined` while nobody waits for the end. */
  endsAtMs: number | undefined
  /** When the requests are due whose connections other instances have relayed here. */
  lastRelayedAtMs?: number
  /** Whether requests that may not be answered in time are refused. */
  hasBegun?: boolean
}

/** What has been started so far. */
interface StartedParts {
  callerServer?: CallerServer
  relayed?: Awaited<ReturnType<typeof relayConnections>>
  stopDiscovery?: () => void
  /** Asks the other instances to send nothing more here. */
  announce?: () => void
  /** In the order in which they were started. */
  readonly closables: Closable[]
}

/**
 * Runs an entry instance; resolves once it has shut down. Rejects if a socket that it needs
 * stays taken: that of the callers, the readiness checks, the feeds or the reports. A request
 * to shut down ends a start that is not complete.
 *
 * @example
 * await runGateway({ settings, cascade: {}, dialect, store, log, metrics, shutdownRequested })
 */
export async function runGateway<T>(opts: GatewayOptions<T>): Promise<void> {
  const { settings, store, log } = opts
  log('start', { zone: settings.zone, callers: settings.callerAddress })
  const node = createNode(opts)
  const parts: StartedParts = { closables: [] }
  const drain: Drain = { endsAtMs: undefined }
  opts.onServing?.(() => owedUntilMs(node, drain) - node.opts.clock())
  const { stopSignalled = opts.shutdownRequested } = opts
  void stopSignalled.then(() => {
    drain.endsAtMs = node.opts.clock() + settings.graceMs * GRACE_RATIO
    if (drain.hasBegun) node.stopsAtMs = drain.endsAtMs
  })
  const shutdown = { isRequested: false }
  const shutdownRequested = opts.shutdownRequested.then(() => {
    shutdown.isRequested = true
    return false
  })
  const started = startParts(opts, node, parts).then(
    () => true,
    (err: unknown) => {
      if (!shutdown.isRequested) throw err
      return false
    },
  )
  const hasStarted = await Promise.race([started, shutdownRequested])
  await shutdownRequested
  node.isDraining = true
  parts.announce?.()
  log('leaving', { inProgress: node.requestsInProgress, hasStarted })
  parts.stopDiscovery?.()
  void store.unregister(settings.name)
  // An instance that never was ready has not been sent requests by the balancer.
  const readinessGraceMs = hasStarted
    ? Math.min(READINESS_GRACE_MS, settings.graceMs * MAX_READINESS_SHARE)
    : 0
  await new Promise((resolve) => setTimeout(resolve, readinessGraceMs))
  drain.hasBegun = true
  drain.lastRelayedAtMs = node.opts.clock() + node.longestTimeoutMs
  node.stopsAtMs = drain.endsAtMs
  await stopParts(parts, drain)
  // What a start opens that was not complete is closed once it is.
  if (!hasStarted) void started.then(() => stopParts(parts, { endsAtMs: 0 }))
  store.close()
  node.opts.connections.close()
  node.opts.dialer.close()
  log('stop', { inProgress: node.requestsInProgress })
}

/** Waits for the requests in progress and closes what has been started so far. */
async function stopParts(parts: StartedParts, drain: Drain): Promise<void> {
  parts.stopDiscovery?.()
  const relayedUntilMs = (): number => drain.endsAtMs ?? drain.lastRelayedAtMs ?? 0
  await Promise.all([
    parts.callerServer?.drain(() => drain.endsAtMs),
    parts.relayed?.drain(relayedUntilMs),
  ])
  for (const closable of parts.closables.splice(0).toReversed()) closable.close()
}

/** When the last answer is due that this instance owes or relays, on the monotonic clock. */
function owedUntilMs(
  node: GatewayNode,
  { endsAtMs, lastRelayedAtMs = 0 }: Drain,
): number {
  return endsAtMs ?? Math.max(node.lastDeadlineMs, lastRelayedAtMs)
}

async function startParts<T>(
  opts: GatewayOptions<T>,
  node: GatewayNode,
  parts: StartedParts,
): Promise<void> {
  const { settings, store, log, metrics } = opts
  const sockets = Sockets.create({
    settingOf: settings.socketSettings,
    maxWaitMs: settings.graceMs + SOCKET_MARGIN_MS,
    log,
    metrics,
  })
  void opts.shutdownRequested.then(() => {
    sockets.stopWaiting()
  })
  const callerServer = await CallerServer.create(
    node,
    sockets.required('callers', settings.callerAddress),
  )
  parts.callerServer = callerServer
  const setLimits = (): void => {
    if (node.activeConfig) callerServer.setLimits(node.activeConfig.cfg.limits)
  }
  const feeds = createFeeds(node, store, () => {
    node.hasInitialLists ||= Object.values(feeds).every(({ hasList }) => hasList)
    setLimits()
  })
  const logServeFailed = (err: unknown, { path, host }: PlainRequest): void => {
    const about = { work: 'request of another instance', id: `${host} ${path}` }
    reportFailure(node.opts, 'exchange_failed', about, err)
  }
  const clientLimits = (socket: SocketName): SmallServerLimits => ({
    maxConnections: node.memory.clients.maxSmallConnections,
    onLimit: recordClientLimit(opts, socket),
  })
  const exchange = await FeedExchange.create({
    onServeFailed: logServeFailed,
    clientLimits: clientLimits('feeds'),
    listen: sockets.required('feeds', settings.feedAddress),
    port: settings.feedAddress.port,
    zone: settings.zone,
    linkMbps: settings.linkMbps,
    clock: monotonicClock,
    random: node.opts.random,
    sleep,
    // The exchange forwards store objects unchanged, so their type does not matter to it.
    feeds: Object.values(feeds) as unknown as FeedState<unknown>[],
    onPulled: (kind, result) => {
      metrics.feedPulls.inc({ kind, result })
    },
    onFailed: (failed) => {
      metrics.feedPulls.inc({ kind: failed.kind, result: 'failed' })
      log('feed_pull_failed', { ...failed })
    },
  })
  parts.closables.push(exchange)
  const rolloutController = createRolloutController(node, store)
  const peerAddress = { host: settings.host, port: settings.peerPort }
  const peerLink = await Loop.create(node.opts, 'peer link').run(() =>
    linkPeers(
      node,
      settings,
      rolloutController,
      exchange,
      sockets.required('reports', peerAddress),
    ),
  )
  parts.closables.push(peerLink)
  parts.announce = () => {
    peerLink.send()
  }
  const relayed = await relayConnections(node, sockets.late('relays', peerAddress))
  parts.relayed = relayed
  parts.closables.push(relayed)
  const followers = Loop.create(node.opts, 'feeds').run(() =>
    followFeeds(opts, node, feeds, exchange, () => {
      peerLink.send()
    }),
  )
  parts.closables.push(...followers)
  const readinessServer = await PlainServer.create(
    sockets.required('readiness', settings.readinessAddress),
    () =>
      isReady(node) ? { status: 200, body: 'ready' } : { status: 503, body: 'not ready' },
    logServeFailed,
    clientLimits('readiness'),
  )
  parts.closables.push(readinessServer)
  const metricsServer = await serveMetrics(
    metrics,
    clientLimits('metrics'),
    node.memory,
    sockets.late('metrics', settings.metricsAddress),
    feeds,
    logServeFailed,
  )
  parts.closables.push(metricsServer)
  const self = { name: settings.name, host: settings.host, port: settings.peerPort }
  parts.stopDiscovery = discoverInstances({
    log,
    self,
    store,
    peers: node.opts.peers,
    seedHosts: settings.seedHosts,
    repeat: (action) => Loop.create(node.opts, 'discovery').repeat(0, action),
  })
  const quarantineStore = Loop.create(node.opts, 'quarantine').run(() =>
    QuarantineStore.create({
      clock: node.opts.clock,
      log,
      store,
      quarantine: node.opts.quarantine,
      rank: () => node.opts.peers.rank(),
    }),
  )
  const stopChecks = startRegularChecks(node, rolloutController)
  parts.closables.push(quarantineStore, { close: stopChecks })
}

function isReady(node: GatewayNode): boolean {
  return (
    node.activeConfig !== undefined &&
    node.opts.servers.all().length > 0 &&
    !node.isDraining
  )
}

function followFeeds<T>(
  { settings, store, log, metrics }: GatewayOptions<T>,
  node: GatewayNode,
  feeds: Feeds<T>,
  exchange: FeedExchange,
  notifyPeers: () => void,
): FeedFollower<T>[] {
  const { clock, random, peers } = node.opts
  const startedAtMs = clock()
  const followed = Object.entries(feeds) as [FollowedKind, FeedState<T>][]
  return followed.map(([kind, feed]) =>
    FeedFollower.create({
      kind,
      feed,
      store,
      log,
      clock,
      random,
      sleep,
      fleet: () => ({
        instanceCount: peers.aliveCount,
        zoneRank: peers.zoneRank(),
        isDiscovering: clock() - startedAtMs < DISCOVERY_MS,
        maxPropagationMs: maxPropagationMs(settings, kind),
        pullingForMs: exchange.pullingForMs(kind),
      }),
      onStoreChanges: () => {
        if (peers.aliveCount > SMALL_FLEET_SIZE) notifyPeers()
      },
      onPoll: (polledKind, reason) => {
        metrics.feedPolls.inc({ kind: polledKind, reason })
      },
    }),
  )
}

/** Time within which a change of an object must be applied, in milliseconds. */
function maxPropagationMs(settings: GatewaySettings, kind: FollowedKind): number {
  const { evacuationMs } = settings.bounds
  // Their own bound is longer in most deployments, so their watches cost fewer calls.
  return kind === 'evacuations' && evacuationMs !== undefined
    ? evacuationMs
    : settings.maxPropagationMs
}

function createRolloutController<T>(
  node: GatewayNode,
  store: StorePort<T>,
): RolloutController {
  const { clock, log, rollouts, evidence, servers, load, bounds, peers } = node.opts
  return RolloutController.create({
    clock,
    log,
    rollouts,
    evidence,
    servers,
    load,
    exposure: bounds.exposure,
    instanceCount: () => peers.aliveCount,
    rank: () => peers.rank(),
    peerElapsedMs: (service, target) => peers.rolloutElapsedMs(service, target),
    write: (rollout) =>
      callOwned('store call', 'rollout', () => writeRollout(store, log, rollout)),
  })
}

/**
 * Writes the state of a rollout; a conflict means that another instance wrote it first.
 */
async function writeRollout<T>(
  store: StorePort<T>,
  log: Log,
  rollout: Rollout,
): Promise<void> {
  const { service, target, state, share, revision } = rollout
  const written = await store.writeRollout(rollout)
  const outcome = written.ok ? 'written' : written.val.type
  log('rollout_step', { service, target, state, share, revision, outcome })
}

/**
 * Checks the rollouts at a regular interval and drops outdated state;
 * returns a function that stops the checks.
 */
function startRegularChecks(
  { opts }: GatewayNode,
  rolloutController: RolloutController,
): () => void {
  return Loop.create(opts, 'regular checks').repeat(ROLLOUT_POLL_MS, () => {
    const { aliveNames } = opts.peers
    opts.evidence.removeOutdated(aliveNames)
    opts.prefillSpeeds.retainPeers(aliveNames)
    opts.quarantine.refresh(aliveNames)
    opts.limiter.refresh()
    opts.evacuations.expireMissing()
    opts.memory.endStalled()
    callOwned('rollouts', 'advance', () => rolloutController.advance()).catch(
      (err: unknown) => {
        opts.log('rollout_look_failed', { err: describeError(err) })
      },
    )
    return ROLLOUT_POLL_MS
  })
}

async function serveMetrics<T>(
  { registry, feedAgeSeconds, storeEra, memoryBytes }: GatewayMetrics,
  limits: SmallServerLimits,
  memory: MemoryBudget,
  listen: Listen,
  feeds: Feeds<T>,
  onError: (err: unknown, req: PlainRequest) => void,
): Promise<PlainServer> {
  const respond = async ({ path }: PlainRequest): Promise<PlainResponse> => {
    if (path !== METRICS_PATH) return { status: 404, body: 'not found' }
    for (const { kind, hasList, era, ageMs } of Object.values(feeds)) {
      if (!hasList) continue
      storeEra.set({ kind }, era)
      feedAgeSeconds.set({ kind }, ageMs / 1_000)
    }
    for (const [part, bytes] of Object.entries(memory.describe()))
      memoryBytes.set({ part }, bytes)
    memoryBytes.set({ part: 'resident' }, process.memoryUsage.rss())
    const body = await registry.metrics()
    return { status: 200, contentType: registry.contentType, body }
  }
  return PlainServer.create(listen, respond, onError, limits)
}
