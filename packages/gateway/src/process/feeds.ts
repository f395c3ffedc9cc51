/** The followed kinds of objects, and what their news change in the gateway. */
import { FeedState, type FeedEvent } from '../feed/feedState.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { BackendServer } from '../model/backendServer.js'
import type { Log } from '../observe/log.js'
import type { FollowedKind, StorePort } from './storePort.js'

export type Feeds<T> = Readonly<Record<FollowedKind, FeedState<T>>>

/**
 * Creates the feeds of a process.
 *
 * @param onNews Called after each whole list and each change.
 *
 * @example
 * const feeds = createFeeds(node, store, () => server.setLimits(limits))
 */
export function createFeeds<T>(
  node: GatewayNode,
  store: StorePort<T>,
  onNews: () => void,
): Feeds<T> {
  const { servers, rollouts, clock, log } = node.opts
  const takeConfigs = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      const cfg = object === undefined ? 'other' : store.readConfig(name, object)
      if (cfg === 'unreadable') log('config_unreadable', { name })
      else if (cfg !== 'other') node.putInForce(cfg)
    }
  }
  const takeServers = (events: readonly FeedEvent<T>[]) =>
    events.map(({ name, object }) => {
      const server = object && store.readServer(object)
      logServer(log, name, servers.get(name), server)
      return { id: name, server }
    })
  const takeRollouts = (events: readonly FeedEvent<T>[]): void => {
    for (const { name, object } of events) {
      const rollout = object && store.readRollout(object)
      if (rollout) {
        rollouts.put(rollout)
        log('rollout', { ...rollout })
      } else rollouts.remove(name)
    }
  }
  const create = (
    kind: FollowedKind,
    onList: (events: readonly FeedEvent<T>[]) => void,
    onChanges: (events: readonly FeedEvent<T>[]) => void,
    onReturn: () => void = () => undefined,
  ): FeedState<T> =>
    FeedState.create<T>({
      kind,
      clock,
      onList: (events) => {
        onList(events)
        onNews()
      },
      onChanges: (events) => {
        onChanges(events)
        onNews()
      },
      onReturn: (outageMs) => {
        log('store_news_regained', { kind, outageMs })
        onReturn()
      },
    })
  return {
    config: create('config', takeConfigs, takeConfigs),
    servers: create(
      'servers',
      (events) => {
        const listed = takeServers(events)
        servers.replaceAll(listed.flatMap(({ server }) => (server ? [server] : [])))
      },
      (events) => {
        servers.apply(takeServers(events))
      },
      () => {
        servers.listReturned()
      },
    ),
    rollouts: create(
      'rollouts',
      (events) => {
        rollouts.keepOnly(new Set(events.map(({ name }) => name)))
        takeRollouts(events)
      },
      takeRollouts,
    ),
  }
}

/** One line for each change of what is believed of a backend server. */
function logServer(
  log: Log,
  id: string,
  was: BackendServer | undefined,
  server: BackendServer | undefined,
): void {
  const isSame = was?.isLeaving === server?.isLeaving && was?.version === server?.version
  if (isSame) return
  const state = server ? (server.isLeaving ? 'leaving' : 'ready') : 'removed'
  const { service, version } = server ?? was ?? {}
  log('server', { server: id, service, version, state })
}
