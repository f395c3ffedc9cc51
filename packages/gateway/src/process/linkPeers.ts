/** What this instance reports to the others, and what it takes from their reports. */
import type { FeedExchange } from '../feed/feedExchange.js'
import type { GatewayNode } from '../gatewayNode.js'
import { PeerLink } from '../peers/peerLink.js'
import type { PeerReport } from '../peers/peerReport.js'
import type { RolloutConductor } from '../rollout/rolloutConductor.js'
import type { GatewaySettings } from './settings.js'

/** A roll-out counts as new for so long, in milliseconds: several reports arrive. */
const NEW_ROLLOUT_MS = 2_500

/** Age of the sessions that each report repeats, in milliseconds: four reports may get lost. */
const SESSION_REPORT_MS = 1_500

/** Speeds change slowly: one report in so many has them. */
const REPORTS_PER_SPEEDS = 4

/** Exchanges reports with the other entry instances. */
export function linkPeers(
  node: GatewayNode,
  settings: GatewaySettings,
  conductor: RolloutConductor,
  exchange: FeedExchange,
): Promise<PeerLink> {
  const {
    peers,
    load,
    prefillSpeeds: speeds,
    health,
    evidence,
    rollouts,
    metrics,
    clock,
  } = node.opts
  let sequence = Date.now()
  const makeReport = (): PeerReport => {
    sequence += 1
    const running = rollouts.running()
    return {
      name: settings.name,
      sequence,
      isLeaving: node.isDraining,
      loads: load.own,
      evidence: running.length > 0 ? evidence.own : new Map(),
      rollouts: running.map((rollout) => ({
        service: rollout.service,
        target: rollout.target,
        elapsedMs: conductor.elapsedMs(rollout),
      })),
      sessions: reportedSessions(node, clock()),
      zone: settings.zone,
      feeds: exchange.marks,
      unreachable: health.unreachable,
      speeds: sequence % REPORTS_PER_SPEEDS === 0 ? speeds.own : new Map(),
    }
  }
  return PeerLink.create({
    host: settings.host,
    port: settings.peerPort,
    book: peers,
    makeReport,
    onReport: (report, from) => {
      exchange.heard(report.feeds, from)
      load.report(report.name, report.loads)
      for (const id of report.unreachable) health.hearUnreachable(id)
      evidence.report(report.name, report.evidence)
      if (report.speeds.size > 0) speeds.report(report.name, report.speeds)
      for (const hash of report.sessions) rollouts.sessions.heard(hash)
    },
    onFault: (detail) => {
      metrics.peerFaults.inc({ detail })
    },
  })
}

/** Sessions on old versions: at first all recent ones, then those of the last reports. */
function reportedSessions(node: GatewayNode, nowMs: number): number[] {
  const { rollouts, bounds } = node.opts
  const newest = rollouts.running().map(({ sinceMs }) => nowMs - sinceMs)
  if (newest.length === 0) return []
  const isNew = Math.min(...newest) < NEW_ROLLOUT_MS
  return rollouts.sessions.within(isNew ? bounds.sessionGapMs : SESSION_REPORT_MS)
}
