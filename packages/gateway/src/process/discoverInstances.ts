/** Discovers the other entry instances through the store and the seed hosts. */
import { callOwned } from '@wagtailway/core'
import { describeError, type Log } from '../observe/log.js'
import type { PeerAddress, PeerTable } from '../peers/peerTable.js'
import type { StorePort } from './storePort.js'

/** Intervals after the first polls for other entry instances, in milliseconds. */
const FIRST_POLL_INTERVALS_MS = [900, 1_100, 2_000, 4_000] as const

/**
 * Interval between later polls, in milliseconds. They find instances that have not been
 * discovered through reports.
 */
const POLL_INTERVAL_MS = 20_000

/** Delay after a failed poll for each failure in a row, in milliseconds. */
const RETRY_STEP_MS = 500

/** Longest delay after a failed poll, in milliseconds. */
const MAX_RETRY_DELAY_MS = 5_000

export interface DiscoveryOptions {
  readonly log: Log
  readonly self: PeerAddress
  readonly store: Pick<StorePort<unknown>, 'register' | 'instances'>
  readonly peers: PeerTable
  /**
   * Hosts of some instances, through which the others are found while the store is
   * unavailable.
   */
  readonly seedHosts: readonly string[]
  /**
   * Repeats an action after the delays that it returns, in milliseconds; returns a function
   * that ends it.
   */
  readonly repeat: (action: () => Promise<number>) => () => void
}

/**
 * Registers this instance and discovers the others; returns a function that stops both.
 * Registers again if the store no longer lists this instance, as after a restore from an
 * older copy.
 *
 * @example
 * const stop = discoverInstances({ log, self, store, peers, seedHosts, repeat })
 * stop()
 */
export function discoverInstances({
  log,
  self,
  store,
  peers,
  seedHosts,
  repeat,
}: DiscoveryOptions): () => void {
  let isRegistered = false
  let pollIndex = -1
  let failures = 0
  for (const host of seedHosts) {
    // Placeholder name; the real name arrives with the first report.
    if (host !== self.host)
      peers.addAddress({ name: `seed ${host}`, host, port: self.port })
  }
  const synchronize = async (): Promise<boolean> => {
    isRegistered ||= await store.register(self)
    const addresses = await store.instances()
    for (const address of addresses ?? []) peers.addAddress(address)
    pollIndex += 1
    // The list may be some seconds old, so the first polls may not show this instance yet.
    if (addresses && pollIndex >= FIRST_POLL_INTERVALS_MS.length) {
      isRegistered &&= addresses.some(({ name }) => name === self.name)
    }
    return isRegistered && addresses !== undefined
  }
  return repeat(async () => {
    const succeeded = await callOwned('store call', 'instances', synchronize).catch(
      (err: unknown) => {
        log('discovery_failed_inside', { err: describeError(err) })
        return false
      },
    )
    failures = succeeded ? 0 : failures + 1
    return succeeded
      ? (FIRST_POLL_INTERVALS_MS[pollIndex] ?? POLL_INTERVAL_MS)
      : Math.min(MAX_RETRY_DELAY_MS, RETRY_STEP_MS * failures)
  })
}
