/** Other entry instances: where they are and when they were last heard. */
import { hash32, type Clock } from '@wagtailway/core'
import type { PeerReport, RolloutAge } from './peerReport.js'

/** An entry instance that is silent for longer counts as gone, in milliseconds: two reports of a far one. */
const ALIVE_MS = 4_500

/** One that is silent for longer gets no more reports until it is heard again, in milliseconds. */
const FORGOTTEN_MS = 12_000

/** Fleet that is assumed before the others have been heard of. */
const LEAST_FLEET = 8

export interface PeerAddress {
  readonly name: string
  readonly host: string
  readonly port: number
}

interface Peer {
  readonly address: PeerAddress
  readonly order: string
  readonly zone: string | undefined
  heardAtMs: number
  sequence: number
  isLeaving: boolean
  rollouts: readonly RolloutAge[]
}

/**
 * Known entry instances beside this one.
 *
 * @example
 * const book = PeerBook.create({ name: 'n1', zone: 'z1' }, clock)
 * book.heard(report, { host, port })
 * book.rank() // 0 if no living instance comes before n1
 */
export class PeerTable {
  readonly #peers = new Map<string, Peer>()
  readonly #order: string
  #mostAlive = 1

  private constructor(
    private readonly self: { readonly name: string; readonly zone: string },
    private readonly clock: Clock,
  ) {
    this.#order = orderOf(self.name)
  }

  static create(
    self: { readonly name: string; readonly zone: string },
    clock: Clock,
  ): PeerTable {
    return new PeerTable(self, clock)
  }

  /** Notes an address that may belong to a living instance. */
  know(address: PeerAddress): void {
    if (address.name === this.self.name || this.#peers.has(address.name)) return
    this.#peers.set(address.name, {
      address,
      order: orderOf(address.name),
      zone: undefined,
      // Reports go there for a while, and an answer tells whether it lives.
      heardAtMs: this.clock() - ALIVE_MS,
      sequence: 0,
      isLeaving: false,
      rollouts: [],
    })
  }

  /** Takes in a report; false if a newer one has been seen. */
  heard(
    report: PeerReport,
    from: { readonly host: string; readonly port: number },
  ): boolean {
    if (report.name === this.self.name) return false
    const old = this.#peers.get(report.name)
    if (old && report.sequence <= old.sequence) return false
    this.#peers.set(report.name, {
      address: { name: report.name, ...from },
      order: old?.order ?? orderOf(report.name),
      zone: report.zone,
      heardAtMs: this.clock(),
      sequence: report.sequence,
      isLeaving: report.isLeaving,
      rollouts: report.rollouts,
    })
    return true
  }

  isAlive(name: string): boolean {
    return this.aliveNames.has(name)
  }

  /** Addresses that get reports: all, or only those that may be in the own zone. */
  addresses(reach: 'all' | 'zone' = 'all'): PeerAddress[] {
    const oldestMs = this.clock() - FORGOTTEN_MS
    for (const [name, { heardAtMs }] of this.#peers) {
      if (heardAtMs < oldestMs) this.#peers.delete(name)
    }
    return [...this.#peers.values()]
      .filter(
        ({ zone }) => reach === 'all' || (zone ?? this.self.zone) === this.self.zone,
      )
      .map(({ address }) => address)
  }

  /**
   * The most instances that were alive at once, this one included. Shares of a bound go
   * by it: an instance that hears less than before may only be cut off.
   */
  get peakAliveCount(): number {
    this.#mostAlive = Math.max(this.#mostAlive, this.aliveCount, LEAST_FLEET)
    return this.#mostAlive
  }

  /** Instances that are alive and stay, this one included. */
  get aliveCount(): number {
    return this.#alive().length + 1
  }

  /** Names of the other instances that are alive and stay. */
  get aliveNames(): Set<string> {
    return new Set(this.#alive().map(({ address }) => address.name))
  }

  /** Number of living instances that come before this one. */
  rank(): number {
    return this.#alive().filter(({ order }) => order < this.#order).length
  }

  /** Number of living instances of the own zone that come before this one. */
  zoneRank(): number {
    return this.#alive().filter(
      ({ order, zone }) => zone === this.self.zone && order < this.#order,
    ).length
  }

  /** Longest time since an order that a living instance reports, in milliseconds. */
  rolloutElapsedMs(service: string, target: string): number {
    let longest = 0
    for (const { rollouts, heardAtMs } of this.#alive()) {
      for (const age of rollouts) {
        if (age.service !== service || age.target !== target) continue
        longest = Math.max(longest, age.elapsedMs + this.clock() - heardAtMs)
      }
    }
    return longest
  }

  #alive(): Peer[] {
    const oldestMs = this.clock() - ALIVE_MS
    return [...this.#peers.values()].filter(
      ({ heardAtMs, isLeaving }) => heardAtMs > oldestMs && !isLeaving,
    )
  }
}

/** Orders instances alike everywhere, without a preference for a zone's first names. */
function orderOf(name: string): string {
  return `${hash32(name).toString(16).padStart(8, '0')} ${name}`
}
