/** A report of another entry instance, put together from its datagrams. */
import type { PeerAddress } from '../peers/peerTable.js'
import type { ServerLoad } from '../placement/serverLoad.js'
import type { LoadMessage } from './loadMessage.js'
import type { LoadsByHash, SharedSpeeds } from './loadSums.js'

/** Intervals of its sender after which a report is outdated. */
const MAX_INTERVALS = 4

/** Least time after which a report is outdated, in milliseconds. */
const MIN_TTL_MS = 2_000

/**
 * The last known loads of one sender.
 *
 * @example
 * const report = ReceivedReport.create(from)
 * report.apply(message, from, clock())
 */
export class ReceivedReport {
  address: PeerAddress
  zone = ''
  wantsFleet = false
  /** Number of instances whose loads are added up. */
  instances = 0
  intervalMs = 0
  speeds: SharedSpeeds = new Map()
  readonly #loads = new Map<number, ServerLoad>()
  #validUntilMs = Number.NEGATIVE_INFINITY

  private constructor(from: PeerAddress) {
    this.address = from
  }

  static create(from: PeerAddress): ReceivedReport {
    return new ReceivedReport(from)
  }

  get loads(): LoadsByHash {
    return this.#loads
  }

  isOutdated(nowMs: number): boolean {
    return nowMs >= this.#validUntilMs
  }

  /** Replaces the loads of the servers that the message covers. */
  apply(message: LoadMessage, from: PeerAddress, nowMs: number): void {
    this.address = from
    const { firstHash, lastHash, loads, speeds, intervalMs } = message
    this.zone = message.zone
    this.wantsFleet = message.wantsFleet
    this.instances = message.instances
    this.intervalMs = intervalMs
    if (speeds.size > 0) this.speeds = speeds
    this.#validUntilMs = nowMs + Math.max(MIN_TTL_MS, MAX_INTERVALS * intervalMs)
    for (const hash of this.#loads.keys())
      if (hash >= firstHash && hash <= lastHash) this.#loads.delete(hash)
    for (const [hash, load] of loads) this.#loads.set(hash, load)
  }
}
