/** The feeds of a process, and how their updates are applied to the gateway. */
import {
  FeedState,
  type AppliedUpdate,
  type FeedEvent,
  type Restored,
} from '../feed/feedState.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { FollowedKind, StorePort } from './storePort.js'

export type Feeds<T> = Readonly<Record<AlwaysFollowed, FeedState<T>>> &
  Readonly<Partial<Record<FollowedKind, FeedState<T>>>>

type AlwaysFollowed = Exclude<FollowedKind, 'evacuations'>

/**
 * Creates one feed for each followed kind of object; that of evacuations only if the
 * deployment has a bound for them.
 *
 * @param onUpdate Called after a complete list or a set of changes has been applied.
 *
 * @example
 * const feeds = createFeeds(node, store, () => server.setLimits(limits))
 */
export function createFeeds<T>(
  node: GatewayNode,
  store: StorePort<T>,
  onUpdate: () => void,
): Feeds<T> {
  const { servers, rollouts, evacuations, clock, log, metrics, cold } = node.opts
  const applyConfigs = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      const cfg = object === undefined ? 'other' : store.decodeConfig(name, object)
      if (cfg === 'unreadable') log('config_unreadable', { name })
      else if (cfg !== 'other') node.activateConfig(cfg)
    }
  }
  const toServerChanges = (events: readonly FeedEvent<T>[], isRestored = false) =>
    events.map(({ name, object }) => {
      const server = object && store.decodeServer(object)
      if (object !== undefined && !server) log('server_unreadable', { server: name })
      logServer(log, name, servers.get(name), server)
      if (server) cold.apply(server, isRestored)
      return { id: name, server }
    })
  const applyRollouts = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      const rollout = object && store.decodeRollout(object)
      if (rollout) {
        rollouts.put(rollout)
        log('rollout', { ...rollout })
      } else rollouts.remove(name)
    }
  }
  const applyRestoredRollouts = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      const listed = object && store.decodeRollout(object)
      rollouts.restore(name, listed)
      log('rollout_restored', { service: name, listed, known: rollouts.get(name) })
    }
  }
  // The presence of an object counts; its contents say nothing.
  const applyEvacuations = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      if (object === undefined) evacuations.remove(name)
      else evacuations.put(name)
    }
  }
  const applyRestoredEvacuations = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      if (object === undefined) evacuations.markMissing(name)
      else evacuations.put(name)
    }
  }
  const reportRestored = (kind: string, { before, after, events }: Restored<T>): void => {
    metrics.storeRestores.inc({ kind })
    // A restored store may lack states that were written since the copy.
    node.opts.quarantine.onStatesChanged()
    log('store_restored', { kind, before, after, changes: events.length })
  }
  const reportApplied = ({ source, ...applied }: AppliedUpdate): void => {
    const isFromStore = source === 'store'
    metrics.feedUpdates.inc({
      kind: applied.kind,
      source: isFromStore ? 'store' : 'instance',
    })
    log('feed_update', { ...applied, source: isFromStore ? 'store' : source.host })
  }
  const create = (
    kind: FollowedKind,
    onList: (events: readonly FeedEvent<T>[]) => void,
    onChanges: (events: readonly FeedEvent<T>[]) => void,
    onRestored: (events: readonly FeedEvent<T>[]) => void,
    onStoreRecovered: () => void = () => undefined,
  ): FeedState<T> =>
    FeedState.create<T>({
      kind,
      clock,
      isSame: (a, b) => store.isSame(a, b),
      onList: (events) => {
        onList(events)
        onUpdate()
      },
      onChanges: (events) => {
        onChanges(events)
        onUpdate()
      },
      onRestored: (restored) => {
        reportRestored(kind, restored)
        onRestored(restored.events)
        onUpdate()
      },
      onStoreRecovered: (outageMs) => {
        log('store_news_regained', { kind, outageMs })
        onStoreRecovered()
      },
      onApplied: reportApplied,
    })
  return {
    // An older configuration is not activated; the operator writes the newer one again.
    config: create('config', applyConfigs, applyConfigs, applyConfigs),
    servers: create(
      'servers',
      (events) => {
        const changes = toServerChanges(events)
        servers.replaceAll(changes.flatMap(({ server }) => (server ? [server] : [])))
      },
      (events) => {
        servers.apply(toServerChanges(events))
      },
      (events) => {
        servers.applyRestored(toServerChanges(events, true))
      },
      () => {
        servers.startExpiryGrace()
      },
    ),
    rollouts: create(
      'rollouts',
      (events) => {
        rollouts.retainOnly(new Set(events.map(({ name }) => name)))
        applyRollouts(events)
      },
      applyRollouts,
      applyRestoredRollouts,
    ),
    ...(node.opts.bounds.evacuationMs !== undefined && {
      evacuations: create(
        'evacuations',
        (events) => {
          evacuations.retainOnly(new Set(events.map(({ name }) => name)))
          applyEvacuations(events)
        },
        applyEvacuations,
        applyRestoredEvacuations,
      ),
    }),
  }
}

/** Logs a change of the state or version of a backend server, or its removal. */
function logServer(
  log: Log,
  id: string,
  previous: BackendServer | undefined,
  server: BackendServer | undefined,
): void {
  const isUnchanged =
    previous?.isDraining === server?.isDraining && previous?.version === server?.version
  if (isUnchanged) return
  const state = server ? (server.isDraining ? 'leaving' : 'ready') : 'removed'
  const { service, version } = server ?? previous ?? {}
  log('server', { server: id, service, version, state })
}
