/** Finds the other entry instances through the store. */
import type { PeerAddress, PeerTable } from '../peers/peerTable.js'
import type { StorePort } from './storePort.js'

/** Pauses between the first looks for other entry instances, in milliseconds. */
const FIRST_LOOKS_MS = [900, 1_100, 2_000, 4_000] as const

/** Pause between two later ones, for instances that nobody has heard of, in milliseconds. */
const LOOK_MS = 20_000

/** Pause after a look that failed, in milliseconds; longer after each. */
const RETRY_MS = 500

/** Longest pause after a failed look, in milliseconds. */
const LONGEST_RETRY_MS = 5_000

export interface MeetOptions {
  readonly self: PeerAddress
  readonly store: Pick<StorePort<unknown>, 'register' | 'instances'>
  readonly peers: PeerTable
  /** Hosts of some instances; the way to the others while the store is away. */
  readonly seedHosts: readonly string[]
}

/**
 * Registers this instance and learns of the others; returns a function that stops it.
 *
 * @example
 * const stop = meetInstances({ self, store, peers, seedHosts })
 * stop()
 */
export function meetInstances({
  self,
  store,
  peers,
  seedHosts,
}: MeetOptions): () => void {
  let isRegistered = false
  let looks = -1
  let isStopped = false
  let timer: NodeJS.Timeout | undefined
  for (const host of seedHosts) {
    // Its name comes with its first report.
    if (host !== self.host) peers.know({ name: `seed ${host}`, host, port: self.port })
  }
  const look = async (): Promise<void> => {
    isRegistered ||= await store.register(self)
    const found = await store.instances()
    for (const address of found ?? []) peers.know(address)
    looks += 1
    const isDone = isRegistered && found !== undefined
    const retryMs = Math.min(LONGEST_RETRY_MS, RETRY_MS * (1 + looks))
    const pauseMs = isDone ? (FIRST_LOOKS_MS[looks] ?? LOOK_MS) : retryMs
    if (!isStopped) timer = setTimeout(() => void look(), pauseMs)
  }
  void look()
  return () => {
    isStopped = true
    clearTimeout(timer)
  }
}
