/** Puts the parts of one process together. */
import { monotonicClock, type Random } from '@wagtailway/core'
import type { CascadeOptions } from '../cascade/cascade.js'
import { ServerConnections } from '../forward/serverConnections.js'
import { GatewayNode } from '../gatewayNode.js'
import type { HeaderDialect } from '../model/requestFacts.js'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import { PeerTable } from '../peers/peerTable.js'
import { ModelSpeeds } from '../placement/modelSpeed.js'
import { ReadParts } from '../placement/readParts.js'
import { ServerHealth } from '../placement/serverHealth.js'
import { LoadBoard } from '../placement/serverLoad.js'
import { RecentSessions } from '../rollout/recentSessions.js'
import { RolloutBook } from '../rollout/rolloutBook.js'
import { ServerEvidence } from '../rollout/serverEvidence.js'
import { ServerTable } from '../servers/serverTable.js'
import type { GatewaySettings } from './settings.js'

export interface NodeOptions {
  readonly settings: GatewaySettings
  readonly cascade: CascadeOptions
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly dialect: HeaderDialect
}

/**
 * Creates the shared state of one process.
 *
 * @example
 * const node = createNode({ settings, cascade: {}, log, metrics, dialect })
 */
export function createNode(opts: NodeOptions): GatewayNode {
  const { settings, cascade, log, metrics, dialect } = opts
  const clock = monotonicClock
  const random: Random = Math.random
  const health = ServerHealth.create(clock)
  const connections = ServerConnections.create()
  const sessions = RecentSessions.create(clock, settings.bounds.sessionGapMs)
  const rollouts = RolloutBook.create(clock, sessions)
  const evidence = ServerEvidence.create()
  const load = LoadBoard.create(clock)
  const peers = PeerTable.create(settings, clock)
  const servers = ServerTable.create(clock, ({ id }) => {
    health.forget(id)
    connections.drop(id)
    log('server_gone', { server: id })
  })
  return GatewayNode.create({
    name: settings.name,
    zone: settings.zone,
    clock,
    random,
    log,
    metrics,
    dialect,
    bounds: settings.bounds,
    cascade,
    servers,
    load,
    health,
    prefillSpeeds: ModelSpeeds.create(clock),
    cachedPrefixes: ReadParts.create(clock),
    connections,
    rollouts,
    evidence,
    peers,
  })
}
