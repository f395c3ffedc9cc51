/** Creates and connects the components of one router. */
import {
  CallBudget,
  EvidenceTable,
  Ledger,
  PauseGuard,
  QualityEstimates,
  RetryBudget,
  ServerPool,
  flagOf,
  lagShedding,
  monotonicClock,
  seededRandom,
  wallClock,
} from '@wagtailway/core'
import type { PlatformClient } from '@wagtailway/platform'
import { BackendClient } from './backend/backendClient.js'
import { BackendTable } from './backend/backendTable.js'
import { listenWithRetry } from './http/listen.js'
import { createLog } from './log.js'
import { LoopLag } from './loopLag.js'
import { RouterMetrics } from './metrics.js'
import { OperatorRoutes } from './operators/operatorRoutes.js'
import type { ResolvedRouterOptions } from './options.js'
import { ClaimStore } from './peers/claimStore.js'
import { createExchangeNode } from './peers/createExchangeNode.js'
import { Peers } from './peers/peers.js'
import { createSessionPins } from './peers/sessionPins.js'
import { createPlatform } from './platform/createPlatform.js'
import { defaultPolicies } from './policies.js'
import { RatingsClient } from './ratings/ratingsClient.js'
import { Decisions } from './request/decision.js'
import { Rollouts } from './rollout/rollouts.js'
import type { RouterNode } from './routerNode.js'

export interface RouterParts {
  readonly node: RouterNode
  readonly platform: PlatformClient
  readonly peers: Peers
  readonly ratings: RatingsClient
  readonly rollouts: Rollouts
  readonly budget: CallBudget
  readonly claimStore: ClaimStore
  readonly loopLag: LoopLag
  /** Tries to write the last lines of the log, for at most so many milliseconds. */
  readonly closeLog: (timeoutMs: number) => Promise<boolean>
}

/**
 * Creates the components; the server for peers is listening once this resolves.
 *
 * @param onChange Called when exchanges may have changed the configuration or the instance list.
 */
export async function createParts(
  cfg: ResolvedRouterOptions,
  onChange: () => void,
): Promise<RouterParts> {
  const { log, close: closeLog } = createLog(cfg.node)
  const metrics = RouterMetrics.create()
  const random = seededRandom(cfg.seed)
  const budget = CallBudget.create({ clock: monotonicClock, random })
  const platform = createPlatform(cfg, budget, metrics)
  const incarnation = `${cfg.node}-${wallClock().toString(36)}`
  const ledger = Ledger.create({ store: platform, incarnation })
  const claimStore = ClaimStore.create({ platform: cfg.platform, random, metrics })
  const operators = OperatorRoutes.create()
  const pauseGuard = PauseGuard.create({ clock: monotonicClock })
  const peers = await Peers.create({
    fallback: operators.handle,
    self: { node: cfg.node, incarnation, zone: cfg.zone, region: cfg.region },
    listen: listenWithRetry({
      socket: 'peers',
      host: cfg.host,
      port: cfg.peerPort,
      setting: `--${flagOf('peerPort')}`,
      log,
      metrics,
    }),
    clock: monotonicClock,
    intervalMs: cfg.heartbeatMs,
    createNode: (self) => createExchangeNode(cfg, self, random),
    onChange: () => {
      pauseGuard.tick()
      onChange()
    },
    onBytes: (bytes) => {
      metrics.controlBytes.inc(bytes)
    },
    store: platform,
    ledger,
    tables: claimStore.tables,
    onRecovered: (count) => {
      metrics.recoveredRecords.inc(count)
      log.info('stored records of instances that went silent', { count })
    },
    onClaimFallback: (kind) => {
      metrics.claimEvents.inc({ kind, event: 'owner_fallback' })
    },
    onError: (err) => {
      log.error('an exchange with other instances failed', err)
    },
  })
  const loopLag = LoopLag.create()
  const policies = defaultPolicies(cfg)
  const createPool = (): ServerPool =>
    ServerPool.create({
      clock: monotonicClock,
      random,
      zone: cfg.zone,
      selectReplica: policies.selectReplica,
    })
  const evidence = EvidenceTable.create({ source: incarnation, clock: wallClock })
  const estimates = QualityEstimates.create({ evidence })
  const rollouts = Rollouts.create({
    store: platform,
    config: peers.config,
    members: peers.members,
    values: peers.node.values,
    estimates,
    qualityEvidence: evidence,
    incarnation,
    node: cfg.node,
    clock: monotonicClock,
    metrics,
    log,
  })
  const ratings = RatingsClient.create({
    url: cfg.ratings,
    node: cfg.node,
    onRating: (classKey, versionKey, score) => {
      metrics.ratings.inc({ event: 'received' })
      estimates.add('quality', classKey, versionKey, score)
      rollouts.registry.recordRating(versionKey, classKey, score)
    },
  })
  const node: RouterNode = {
    cfg,
    config: peers.config,
    backends: BackendTable.create(createPool),
    client: BackendClient.create(),
    members: peers.members,
    claims: peers.claims.routers.claim,
    sessions: createSessionPins(
      peers.claims.routers.session,
      metrics,
      () => peers.config.isOutageClaimed,
    ),
    ledger,
    estimates,
    rollouts: rollouts.registry,
    retryBudget: RetryBudget.create(),
    policies,
    decisions: Decisions.create({ capacity: cfg.decisionsKept, clock: monotonicClock }),
    metrics,
    log,
    random,
    clock: monotonicClock,
    wallClock,
    copyRecord: (entry) => peers.copies.copy(entry),
    requestRating: (response) => {
      ratings.request(response)
    },
    shed: lagShedding({
      random,
      lagMs: () => loopLag.ms / cfg.targetScale,
    }),
    isInstanceListCurrent: () =>
      pauseGuard.isCurrent(peers.node.instances.ageMs) ||
      peers.config.isServingUnconfirmed,
    inProgress: 0,
  }
  operators.serve(node)
  return {
    node,
    platform,
    peers,
    ratings,
    rollouts,
    budget,
    claimStore,
    loopLag,
    closeLog,
  }
}
