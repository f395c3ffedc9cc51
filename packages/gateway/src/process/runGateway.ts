/** The life of one entry instance: start, work, leave. */
import { monotonicClock } from '@wagtailway/core'
import type { CascadeOptions } from '../cascade/cascade.js'
import { FeedExchange } from '../feed/feedExchange.js'
import type { FeedState } from '../feed/feedState.js'
import { MEETING_MS, SMALL_FLEET } from '../feed/pollSchedule.js'
import type { GatewayNode } from '../gatewayNode.js'
import { CallerServer } from '../http/callerServer.js'
import { PlainServer } from '../http/plainServer.js'
import type { HeaderDialect } from '../model/requestFacts.js'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import { ROLLOUT_LOOK_MS, RolloutConductor } from '../rollout/rolloutConductor.js'
import type { Rollout } from '../rollout/rolloutBook.js'
import { createNode } from './createNode.js'
import { createFeeds } from './feeds.js'
import { Follower } from './feedFollower.js'
import { linkPeers } from './linkPeers.js'
import { meetInstances } from './discoverInstances.js'
import type { GatewaySettings } from './settings.js'
import type { FollowedKind, StorePort } from './storePort.js'

/**
 * How long new connections are still taken after the order to end, in milliseconds: the
 * balancer asks once a second and needs two misses.
 */
const LEAVE_AFTER_MS = 2_600

/** Part of the grace that requests in progress may use. */
const GRACE_PART = 0.95

const METRICS_PATH = '/metrics'

export interface GatewayOptions<T> {
  readonly settings: GatewaySettings
  readonly cascade: CascadeOptions
  readonly dialect: HeaderDialect
  readonly store: StorePort<T>
  readonly log: Log
  readonly metrics: GatewayMetrics
  /** Resolves when the process is asked to end. */
  readonly shutdownRequested: Promise<void>
}

/**
 * Runs an entry instance; resolves once it has left.
 *
 * @example
 * await runGateway({ settings, cascade: {}, dialect, store, log, metrics, ended })
 */
export async function runGateway<T>(opts: GatewayOptions<T>): Promise<void> {
  const { settings, store, log, metrics } = opts
  log('start', { zone: settings.zone, callers: settings.callers })
  const node = createNode(opts)
  const callers = await CallerServer.create(node, settings.callers)
  const setLimits = (): void => {
    if (node.inForce) callers.setLimits(node.inForce.cfg.limits)
  }
  const feeds = createFeeds(node, store, () => {
    node.hasInitialLists ||= Object.values(feeds).every(({ isKnown }) => isKnown)
    setLimits()
  })
  const exchange = await FeedExchange.create({
    address: settings.feeds,
    clock: monotonicClock,
    // Whatever the store's objects are, they are passed on as they came.
    feeds: Object.values(feeds) as unknown as FeedState<unknown>[],
    onFault: (detail) => {
      log('feed_pull_failed', { detail })
    },
  })
  const conductor = createConductor(node, store)
  const link = await linkPeers(node, settings, conductor, exchange)
  const followers = follow(opts, node, feeds, () => {
    link.send()
  })
  const readiness = await PlainServer.create(settings.readiness, () =>
    isReady(node) ? { status: 200, text: 'ready' } : { status: 503, text: 'not ready' },
  )
  const metricsServer = await serveMetrics(metrics, settings)
  const self = { name: settings.name, host: settings.host, port: settings.peerPort }
  const stopMeeting = meetInstances({
    self,
    store,
    peers: node.opts.peers,
    seedHosts: settings.seedHosts,
  })
  const stopLooking = lookAtRollouts(node, conductor)

  await opts.shutdownRequested
  node.isDraining = true
  link.send()
  log('leaving', { inProgress: node.inProgress })
  stopMeeting()
  void store.unregister(settings.name)
  await new Promise((resolve) => setTimeout(resolve, LEAVE_AFTER_MS))
  node.rejectsNewStreams = true
  await callers.drain(settings.graceMs * GRACE_PART - LEAVE_AFTER_MS)
  stopLooking()
  for (const follower of followers) follower.close()
  for (const part of [link, exchange, readiness, metricsServer, store]) part.close()
  node.opts.connections.close()
  log('stop', { inProgress: node.inProgress })
}

function isReady(node: GatewayNode): boolean {
  return (
    node.inForce !== undefined && node.opts.servers.all().length > 0 && !node.isDraining
  )
}

function follow<T>(
  { settings, store, log }: GatewayOptions<T>,
  node: GatewayNode,
  feeds: Readonly<Record<FollowedKind, FeedState<T>>>,
  tellPeers: () => void,
): Follower<T>[] {
  const { clock, random, peers } = node.opts
  const startedAtMs = clock()
  const kinds = Object.keys(feeds) as FollowedKind[]
  return kinds.map((kind) =>
    Follower.create({
      kind,
      feed: feeds[kind],
      store,
      log,
      clock,
      random,
      fleet: () => ({
        instanceCount: peers.aliveCount,
        zoneRank: peers.zoneRank(),
        isMeeting: clock() - startedAtMs < MEETING_MS,
        boundMs: settings.maxPropagationMs,
      }),
      onNews: () => {
        if (peers.aliveCount > SMALL_FLEET) tellPeers()
      },
    }),
  )
}

function createConductor<T>(node: GatewayNode, store: StorePort<T>): RolloutConductor {
  const { clock, log, rollouts, evidence, servers, load, bounds, peers } = node.opts
  return RolloutConductor.create({
    clock,
    log,
    book: rollouts,
    evidence,
    servers,
    load,
    exposureShare: bounds.exposureShare,
    rank: () => peers.rank(),
    elapsedElsewhereMs: (service, target) => peers.rolloutElapsedMs(service, target),
    write: (rollout) => writeRollout(store, log, rollout),
  })
}

/** Writes a roll-out's state; a conflict means that another instance was first. */
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

/** Looks at roll-outs regularly and lets old evidence fade. */
function lookAtRollouts({ opts }: GatewayNode, conductor: RolloutConductor): () => void {
  const timer = setInterval(() => {
    opts.evidence.fade(ROLLOUT_LOOK_MS)
    opts.evidence.keepPeers(opts.peers.aliveNames)
    opts.prefillSpeeds.keepPeers(opts.peers.aliveNames)
    conductor.look().catch((err: unknown) => {
      opts.log('rollout_look_failed', { err: String(err) })
    })
  }, ROLLOUT_LOOK_MS)
  return () => {
    clearInterval(timer)
  }
}

async function serveMetrics(
  { registry }: GatewayMetrics,
  settings: GatewaySettings,
): Promise<PlainServer> {
  return PlainServer.create(settings.metrics, async (path) =>
    path === METRICS_PATH
      ? {
          status: 200,
          contentType: registry.contentType,
          text: await registry.metrics(),
        }
      : { status: 404, text: 'not found' },
  )
}
