/** Creates the reports of this instance and applies those of the others. */
import type { FeedExchange } from '../feed/feedExchange.js'
import { SMALL_FLEET_SIZE } from '../feed/pollSchedule.js'
import type { GatewayNode } from '../gatewayNode.js'
import { LoadExchange, REPORT_INTERVAL_MS } from '../loads/loadExchange.js'
import { reportFailure } from '../observe/failures.js'
import { PeerLink } from '../peers/peerLink.js'
import type { PeerReport } from '../peers/peerReport.js'
import { repeatedNewsMs, reportIntervalMs } from '../peers/reportSchedule.js'
import { REFRESH_MS } from '../statements/placeLimiter.js'
import type { RolloutController } from '../rollout/rolloutController.js'
import type { Listen } from '../sockets/sockets.js'
import { isWarmupAsk } from '../warmup/warmupLimiter.js'
import { Loop } from './loop.js'
import type { GatewaySettings } from './settings.js'

/**
 * Age up to which a rollout counts as new, in milliseconds; long enough for several
 * reports to arrive.
 */
const NEW_ROLLOUT_AGE_MS = 2_500

/** Only every fourth report includes prefill speeds, because they change slowly. */
const SPEEDS_EVERY = 4

/** Least interval between two reports sent out of turn, in milliseconds. */
const MIN_NEWS_INTERVAL_MS = 50

/** The link to the other entry instances, and what runs on it. */
export interface LinkedPeers {
  /** Sends a report now. */
  send(): void
  close(): void
}

/** Starts the exchange of reports with the other entry instances. */
export async function linkPeers(
  node: GatewayNode,
  settings: GatewaySettings,
  rolloutController: RolloutController,
  exchange: FeedExchange,
  listen: Listen,
): Promise<LinkedPeers> {
  const { peers, load, prefillSpeeds, health, evidence, rollouts, metrics, clock } =
    node.opts
  const { quarantine, limiter, paths, dialer, connections, statements, places, warmup } =
    node.opts
  let sequence = Date.now()
  const createReport = (): PeerReport => {
    sequence += 1
    const running = rollouts.running()
    return {
      name: settings.name,
      sequence,
      isDraining: node.isDraining,
      // The aggregators of a large fleet know them already.
      loads: load.hasFleetLoads ? new Map() : load.localLoads,
      evidence: running.map(({ service, target }) => ({
        service,
        target,
        observations: evidence.reportedObservations(service, target),
      })),
      rollouts: running.map((rollout) => ({
        service: rollout.service,
        target: rollout.target,
        elapsedMs: rolloutController.elapsedMs(rollout),
        isWithdrawn: rollouts.isWithdrawn(rollout.service, rollout.target),
      })),
      sessionHashes: reportedSessionHashes(node, clock()),
      zone: settings.zone,
      linkMbps: settings.linkMbps,
      feedMarks: exchange.marks,
      unreachableServers: health.reportedUnreachable,
      prefillSpeeds:
        sequence % SPEEDS_EVERY === 0 && !load.hasFleetLoads
          ? prefillSpeeds.localSpeeds
          : new Map(),
      crashReport: quarantine.report,
      limits: limiter.reported,
      cutOffServices: paths.cutOffServices,
      statements: statements.reported,
    }
  }
  const loadExchange = LoadExchange.create({
    name: settings.name,
    zone: settings.zone,
    clock,
    load,
    prefillSpeeds,
    marks: () => exchange.marks,
    instancesByZone: () => peers.instancesByZone(node.isDraining),
    send: (message, addresses) => {
      link.sendLoadMessage(message, addresses)
    },
    onChange: (state) => {
      node.opts.log('fleet_loads', { ...state })
    },
  })
  const link = await PeerLink.create({
    listen,
    peers,
    createReport,
    onReport: (report, from) => {
      exchange.applyMarks(report.feedMarks, { host: from.host, zone: report.zone })
      load.applyReport(report.name, report.loads)
      if (report.isDraining)
        connections.closeIdle((_server, relay) => relay === report.name)
      // Earlier builds report what they themselves don't reach, which tells nothing about
      // the servers.
      if (report.cutOffServices)
        for (const id of report.unreachableServers)
          health.recordPeerUnreachable(id, report.name)
      evidence.applyReport(report.name, report.evidence)
      for (const { service, target, isWithdrawn } of report.rollouts)
        if (isWithdrawn)
          rolloutController.applyPeerWithdrawal(service, target, report.name)
      if (report.prefillSpeeds.size > 0)
        prefillSpeeds.applyReport(report.name, report.prefillSpeeds)
      quarantine.applyReport(report.name, report.crashReport)
      limiter.applyReport(report.name, report.limits ?? [])
      statements.applyReport(report.name, report.statements)
      for (const hash of report.sessionHashes) rollouts.recentSessions.recordPeerUse(hash)
    },
    onPermitMessage: (message, from) => {
      if (message.type === 'grant') {
        limiter.applyGrant(message.id, message.grant)
        warmup.applyGrant(message.id, message.grant)
        return
      }
      const { asker, ask } = message
      const grant = (isWarmupAsk(ask) ? warmup : limiter).answer(asker, ask)
      link.sendPermitMessage({ type: 'grant', id: ask.id, grant }, from)
    },
    onLoadMessage: (message, { host, port }) => {
      exchange.applyMarks(message.marks, { host, zone: message.zone })
      loadExchange.receive(message, { name: message.sender, host, port })
    },
    onPlaceDatagram: (datagram, from) => {
      if (datagram.type === 'answer') {
        places.applyAnswer(datagram.askId, datagram.granted)
        return
      }
      const { sender, message } = datagram
      const { askId } = message
      places.receive(sender, message, (granted) => {
        if (askId !== undefined)
          link.sendPlaceDatagram({ type: 'answer', askId, granted }, from)
      })
    },
    onPathRegained: () => {
      dialer.checkLost()
    },
    onFault: (detail) => {
      metrics.peerFaults.inc({ detail })
    },
    onFailedInside: (err, host) => {
      metrics.peerFaults.inc({ detail: 'failed inside' })
      const about = { work: 'report of another instance', id: host }
      reportFailure(node.opts, 'exchange_failed', about, err)
    },
    repeat: (action) =>
      Loop.create(node.opts, 'reports').repeat(reportIntervalMs(0), action),
  })
  const sendNews = limitRate(Loop.create(node.opts, 'news'), MIN_NEWS_INTERVAL_MS, () => {
    link.send()
  })
  node.onPathNews = sendNews
  statements.onNews = sendNews
  places.send = (issuer, message) => {
    const address = peers.addressOf(issuer)
    if (address)
      link.sendPlaceDatagram({ type: 'use', sender: settings.name, message }, address)
  }
  const stopPlaces = Loop.create(node.opts, 'places').repeat(REFRESH_MS, () => {
    places.refresh()
    return REFRESH_MS
  })
  quarantine.onNews = sendNews
  limiter.onNews = sendNews
  limiter.sendAsk = (issuer, ask) => {
    const address = peers.addressOf(issuer)
    if (address)
      link.sendPermitMessage({ type: 'ask', asker: settings.name, ask }, address)
  }
  warmup.sendAsk = limiter.sendAsk
  const stopLoads = Loop.create(node.opts, 'loads').repeat(REPORT_INTERVAL_MS, () => {
    // In a small fleet each instance reports to each other one.
    if (peers.aliveCount > SMALL_FLEET_SIZE) loadExchange.advance()
    return REPORT_INTERVAL_MS
  })
  return {
    send: () => {
      link.send()
    },
    close: () => {
      stopLoads()
      stopPlaces()
      link.close()
    },
  }
}

/** Calls the action at most once in each interval, at once or at its end. */
function limitRate(loop: Loop, intervalMs: number, action: () => void): () => void {
  let lastAtMs = Number.NEGATIVE_INFINITY
  let isPlanned = false
  return () => {
    if (isPlanned) return
    isPlanned = true
    const delayMs = Math.max(0, lastAtMs + intervalMs - performance.now())
    loop.after(delayMs, () => {
      isPlanned = false
      lastAtMs = performance.now()
      action()
    })
  }
}

/**
 * Hashes of sessions to report. While a rollout is new these are all recent sessions,
 * afterwards only those used since the last few reports.
 */
function reportedSessionHashes(node: GatewayNode, nowMs: number): number[] {
  const { rollouts, bounds, peers } = node.opts
  const rolloutAgesMs = rollouts
    .running()
    .map(({ firstSeenAtMs }) => nowMs - firstSeenAtMs)
  if (rolloutAgesMs.length === 0) return []
  const hasNewRollout = Math.min(...rolloutAgesMs) < NEW_ROLLOUT_AGE_MS
  return rollouts.recentSessions.hashesWithin(
    hasNewRollout ? bounds.sessionGapMs : repeatedNewsMs(peers.size),
  )
}
