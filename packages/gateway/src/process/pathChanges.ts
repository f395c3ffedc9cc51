/** What follows from changes of the known paths to backend servers. */
import type { GatewayNode } from '../gatewayNode.js'
import type { PathChange, PathFailure } from '../paths/pathTable.js'

/**
 * Whether direct connections that are open may still work: where new ones are refused at
 * once, those may live on.
 */
export function mayLiveOn(failure: PathFailure | undefined): boolean {
  return failure === undefined || failure === 'refused'
}

/** Logs a change of the known paths and closes the idle connections that it makes useless. */
export function applyPathChange(node: GatewayNode, change: PathChange): void {
  const { log, metrics, connections, paths, clock } = node.opts
  metrics.lostPaths.set(paths.lostCount)
  switch (change.type) {
    case 'path_lost':
    case 'path_regained': {
      const { server, lost } = change
      const { state, failure, relay } = lost
      log(change.type, {
        server: server.id,
        service: server.service,
        state,
        failure,
        relay,
        lostForMs: Math.round(clock() - lost.sinceMs),
      })
      const isRegained = change.type === 'path_regained'
      if (isRegained || !mayLiveOn(failure))
        connections.closeIdle(
          ({ id }, via) => id === server.id && (via !== undefined) === isRegained,
        )
      return
    }
    case 'service_cut_off':
    case 'service_regained': {
      const { type, ...fields } = change
      log(type, fields)
      node.onPathNews()
      const isRegained = type === 'service_regained'
      if (isRegained || !mayLiveOn(change.failure))
        connections.closeIdle(
          ({ service }, via) =>
            service === change.service && (via !== undefined) === isRegained,
        )
    }
  }
}
