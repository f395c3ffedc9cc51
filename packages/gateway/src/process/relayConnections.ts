/** Relays connections of the other entry instances to backend servers. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { GatewayNode } from '../gatewayNode.js'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import { reportFailure } from '../observe/failures.js'
import { connectDirectly } from '../paths/directConnection.js'
import { recordClientLimit } from '../http/clientLimit.js'
import { RelayServer, type RelayRefusal } from '../paths/relayServer.js'
import type { Listen } from '../sockets/sockets.js'
import { Loop } from './loop.js'
import { LoopDelay } from './loopDelay.js'

/**
 * Connections that are relayed at a time; each takes two of the process's descriptors, the
 * smallest machines have 4,100.
 */
const MAX_RELAYED = 400

/** Interval of the check whether all relayed connections have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50

/** Delay of the event loop from which own callers come first, in milliseconds. */
const MAX_LOOP_DELAY_MS = 250

/** Relay server of one instance. */
export interface RelayConnections {
  /**
   * Waits until no connection is relayed any more.
   *
   * @param endsAtMs Returns when it waits no longer, on the monotonic clock.
   */
  drain(endsAtMs: () => number): Promise<void>
  close(): void
}

/**
 * Starts to relay connections. The port is that of the reports, but for TCP.
 *
 * @example
 * const relayConnections = await relayConnections(node, sockets.late('relays', address))
 * relayConnections.close()
 */
export async function relayConnections(
  node: GatewayNode,
  listen: Listen,
): Promise<RelayConnections> {
  const { log, metrics } = node.opts
  const loopDelay = Loop.create(node.opts, 'loop delay').run(() =>
    LoopDelay.create((recentMs, latestMs) => {
      node.loopDelayMs = latestMs
      metrics.loopDelaySeconds.set(recentMs / 1_000)
    }),
  )
  const server = await RelayServer.create({
    listen,
    admit: (requester, incarnation, openCount) => {
      const isBusy = openCount >= MAX_RELAYED || loopDelay.recentMs > MAX_LOOP_DELAY_MS
      return admitRelayed(node, requester, incarnation, isBusy)
    },
    connect: connectDirectly,
    otherServer: (failed) => {
      const others = node.opts.servers
        .all()
        .filter(({ id, isDraining }) => id !== failed.id && !isDraining)
        .filter((server) => node.opts.evacuations.isOpen(server))
      return others[Math.floor(node.opts.random() * others.length)]
    },
    onRequest: ({ host: requester, ...request }) => {
      metrics.relayRequests.inc({ result: request.result })
      if (request.result === 'unknown_instance')
        log('relay_refused', { requester, ...request })
    },
    onError: (err, requester) => {
      const about = { work: 'relayed connection', id: requester }
      reportFailure(node.opts, 'exchange_failed', about, err)
    },
    limits: {
      maxConnections: node.memory.clients.maxSmallConnections,
      onLimit: recordClientLimit(node.opts, 'relays'),
    },
    onOpenCount: (count) => {
      metrics.relayedConnections.set(count)
    },
  })
  return {
    drain: async (endsAtMs) => {
      const { clock } = node.opts
      while (server.openCount > 0 && clock() < endsAtMs()) await sleep(DRAIN_CHECK_MS)
    },
    close: () => {
      loopDelay.close()
      server.close()
    },
  }
}

/** Decides whether a connection is relayed: only for known instances, to listed servers. */
function admitRelayed(
  node: GatewayNode,
  requester: string,
  incarnation: string,
  isBusy: boolean,
): BackendServer | RelayRefusal {
  const { peers, servers, paths, dialer, statements, evacuations } = node.opts
  if (!peers.hasHost(requester)) return 'unknown_instance'
  if (node.isDraining) return 'leaving'
  if (isBusy) return 'busy'
  const server = servers.get(incarnation.slice(0, incarnation.lastIndexOf(' ')))
  if (!server || server.isDraining || incarnationOf(server) !== incarnation)
    return 'unknown_server'
  // The instance that asks may not have heard of it, or may be of an older build.
  if (!evacuations.isOpen(server)) return 'evacuated_zone'
  const isWilling =
    statements.leavingForMs(server) === undefined && statements.heldForMs(server) === 0
  if (!isWilling) return 'unwilling_server'
  const mayBeCutOff = dialer.hasSilentServers(server.service)
  return paths.isLost(server) || mayBeCutOff ? 'no_path' : server
}
