/** Creates the shared state of one process. */
import { monotonicClock, type Random } from '@wagtailway/core'
import type { CascadeOptions } from '../cascade/cascade.js'
import { EvacuationTable } from '../evacuation/evacuationTable.js'
import { ServerConnections } from '../forward/serverConnections.js'
import { GatewayNode } from '../gatewayNode.js'
import { ServerLimiter } from '../limits/serverLimiter.js'
import { MemoryBudget } from '../memory/memoryBudget.js'
import type { BackendServer } from '../model/backendServer.js'
import type { HeaderDialect } from '../model/requestMetadata.js'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import { PathTable } from '../paths/pathTable.js'
import { ServerDialer } from '../paths/serverDialer.js'
import { PeerTable } from '../peers/peerTable.js'
import { longestReportIntervalMs } from '../peers/reportSchedule.js'
import { PrefillSpeeds } from '../placement/prefillSpeeds.js'
import { CachedPrefixes } from '../placement/cachedPrefixes.js'
import { ServerHealth } from '../placement/serverHealth.js'
import { LoadTable } from '../placement/serverLoad.js'
import { CrashQuarantine } from '../quarantine/crashQuarantine.js'
import { RecentSessions } from '../rollout/recentSessions.js'
import { RolloutTable } from '../rollout/rolloutTable.js'
import { VersionEvidence } from '../rollout/versionEvidence.js'
import { PlaceLimiter } from '../statements/placeLimiter.js'
import { StatementTable } from '../statements/statementTable.js'
import { ServerTable } from '../servers/serverTable.js'
import { reportFailure } from '../observe/failures.js'
import { ColdServers } from '../warmup/coldServers.js'
import { boundOf } from '../warmup/warmupBound.js'
import { WarmupLimiter } from '../warmup/warmupLimiter.js'
import { Loop } from './loop.js'
import { applyPathChange, mayLiveOn } from './pathChanges.js'
import type { GatewaySettings } from './settings.js'

export interface NodeOptions {
  readonly settings: GatewaySettings
  readonly cascade: CascadeOptions
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly dialect: HeaderDialect
}

/**
 * Creates the node with its tables, connections and statistics, all empty.
 *
 * @example
 * const node = createNode({ settings, cascade: {}, log, metrics, dialect })
 */
export function createNode(opts: NodeOptions): GatewayNode {
  const { settings, cascade, log, metrics, dialect } = opts
  const clock = monotonicClock
  const random: Random = Math.random
  const health = ServerHealth.create(clock, (server, source) => {
    log('server_unreachable', { server, source })
  })
  const sessions = RecentSessions.create(clock, settings.bounds.sessionGapMs)
  const rollouts = RolloutTable.create(clock, sessions)
  const evidence = VersionEvidence.create(clock)
  const peers = PeerTable.create(settings, clock)
  const evacuations = EvacuationTable.create({
    clock,
    onChange: ({ zone, state, knownForMs }) => {
      const serverCount = servers.all().filter((server) => server.zone === zone).length
      log('evacuation', { zone, state, knownForMs, servers: serverCount })
      metrics.evacuationChanges.inc({ state })
      metrics.evacuatedZones.set(evacuations.size)
    },
  })
  const cachedPrefixes = CachedPrefixes.create(clock)
  const load = LoadTable.create(clock, () => longestReportIntervalMs(peers.size))
  const servers: ServerTable = ServerTable.create(clock, (server, replacement) => {
    const { id } = server
    health.forget(id)
    connections.drop(id)
    paths.forget(server)
    load.forget(id)
    cachedPrefixes.forget(id)
    if (replacement) quarantine.recordRestart(server)
    quarantine.forget(server)
    limiter.forget(server)
    statements.forget(server)
    places.forget(server)
    warmup.forget(server)
    log('server_gone', { server: id })
  })
  const paths = PathTable.create({
    clock,
    serverCount: (service) =>
      servers.ready(service).filter((server) => evacuations.isOpen(server)).length,
    onChange: (change) => {
      applyPathChange(node, change)
    },
  })
  const mayConnect = (server: BackendServer): boolean => evacuations.isOpen(server)
  const dialer = Loop.create(opts, 'path checks').run(() =>
    ServerDialer.create({
      clock,
      random,
      zone: settings.zone,
      paths,
      peers,
      servers: () =>
        servers.all().filter((server) => !server.isDraining && mayConnect(server)),
      mayConnect,
      healthPathOf: (service) =>
        node.activeConfig?.cfg.services.get(service)?.healthPath ?? '/',
      onServerFailed: ({ id }) => {
        health.confirmUnreachable(id)
      },
      onCheckFailed: (err, { id }) => {
        reportFailure(opts, 'exchange_failed', { work: 'path check', id }, err)
      },
      metrics,
    }),
  )
  const permits = Loop.create(opts, 'permits')
  const placeAsks = Loop.create(opts, 'places')
  const warmupAsks = Loop.create(opts, 'warm-up')
  const connections = ServerConnections.create({
    dial: (server) => dialer.dial(server),
    mayReuse: (server, relay) =>
      relay === undefined
        ? mayLiveOn(paths.get(server.id)?.failure)
        : paths.isLost(server) && peers.isAlive(relay),
  })
  const limiter = ServerLimiter.create({
    name: settings.name,
    clock,
    random,
    after: (ms, action) => permits.after(ms, action),
    issuers: () =>
      node.isDraining ? peers.permitIssuers : [settings.name, ...peers.permitIssuers],
    fleetShare: () => peers.fleetShare,
    onChange: ({ incarnation, ...change }) => {
      const ageMs = Math.round(change.ageMs)
      log('server_limit', { server: incarnation, ...change, ageMs })
      metrics.limitedServers.set(limiter.limitedCount)
    },
    onInvalid: (incarnation) => {
      log('server_limit_invalid', { server: incarnation })
    },
  })
  const statements = StatementTable.create({
    name: settings.name,
    clock,
    onChange: ({ incarnation, ...change }) => {
      const ageMs = Math.round(change.ageMs)
      log('server_statement', { server: incarnation, ...change, ageMs })
      for (const type of ['leaving', 'hold', 'brittle'] as const)
        metrics.serverStatements.set({ type }, statements.count(type))
    },
    onInvalid: (incarnation, type) => {
      log('server_statement_invalid', { server: incarnation, type })
    },
  })
  const places = PlaceLimiter.create({
    name: settings.name,
    clock,
    random,
    firstSequence: Date.now(),
    after: (ms, action) => placeAsks.after(ms, action),
    issuers: () =>
      node.isDraining ? peers.relayNames : [settings.name, ...peers.relayNames],
    isBrittle: (server) => statements.isBrittle(server),
  })
  const cold = ColdServers.create({
    clock,
    onChange: (change) => {
      if (change.forMs === 'invalid') log('server_cold_invalid', { ...change })
      else if (settings.bounds.cold) log('server_cold', { ...change })
      metrics.coldServers.set(cold.count)
    },
  })
  const warmup = WarmupLimiter.create({
    name: settings.name,
    clock,
    random,
    after: (ms, action) => warmupAsks.after(ms, action),
    issuers: () =>
      node.isDraining ? peers.permitIssuers : [settings.name, ...peers.permitIssuers],
    fleetShare: () => peers.fleetShare,
    cold,
    boundOf: (service) => {
      const perS = node.activeConfig?.cfg.services.get(service)?.coldRequestsPerS
      const { cold: bound } = settings.bounds
      return perS === undefined || !bound ? undefined : boundOf(perS, bound)
    },
    onAsk: (result) => {
      metrics.warmupAsks.inc({ result })
    },
  })
  const quarantine = CrashQuarantine.create({
    clock,
    log,
    metrics,
    probe: (server) => dialer.probe(server, undefined),
    isPlannedEnd: ({ id, startedAtMs, service, version }) => {
      const listed = servers.get(id)
      const isListed = listed?.startedAtMs === startedAtMs && !listed.isDraining
      return !isListed || rollouts.isRetired(service, version)
    },
  })
  const node = GatewayNode.create({
    name: settings.name,
    zone: settings.zone,
    clock,
    random,
    log,
    metrics,
    dialect,
    bounds: settings.bounds,
    memory: MemoryBudget.create(settings.memoryBytes, clock, settings.fileLimit),
    cascade,
    servers,
    evacuations,
    load,
    health,
    prefillSpeeds: PrefillSpeeds.create(clock),
    cachedPrefixes,
    connections,
    paths,
    dialer,
    rollouts,
    evidence,
    peers,
    quarantine,
    limiter,
    statements,
    places,
    cold,
    warmup,
  })
  return node
}
