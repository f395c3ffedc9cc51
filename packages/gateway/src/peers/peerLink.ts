/** Gossip between entry instances: sends and receives their reports as UDP datagrams. */
import { createSocket, type Socket } from 'node:dgram'
import {
  decodePermitMessage,
  encodePermitMessage,
  type PermitMessage,
} from './permitMessage.js'
import { decodeLoadMessage, encodeLoadMessage } from '../loads/loadMessage.js'
import type { LoadMessage } from '../loads/loadMessage.js'
import {
  decodePlaceDatagram,
  encodePlaceDatagram,
  type PlaceDatagram,
} from '../statements/placeMessage.js'
import { decodeReport, encodeReport, type PeerReport } from './peerReport.js'
import type { Listen, ListenAddress } from '../sockets/sockets.js'
import type { PeerTable } from './peerTable.js'
import { reportIntervalMs, reportScope, type ReportScope } from './reportSchedule.js'

export interface PeerLinkOptions {
  readonly listen: Listen
  readonly peers: PeerTable
  readonly createReport: () => PeerReport
  readonly onReport: (report: PeerReport, from: ListenAddress) => void
  readonly onPermitMessage: (message: PermitMessage, from: ListenAddress) => void
  readonly onLoadMessage: (message: LoadMessage, from: ListenAddress) => void
  readonly onPlaceDatagram: (datagram: PlaceDatagram, from: ListenAddress) => void
  /** Called when another instance reaches a service again. */
  readonly onPathRegained: () => void
  /**
   * Called for each datagram that can't be read, each failed send and each socket
   * error.
   */
  readonly onFault: (detail: string) => void
  /** Called when a datagram could be read and applying it failed. */
  readonly onFailedInside: (err: unknown, host: string) => void
  /**
   * Repeats an action after the delays that it returns, in milliseconds; returns a function
   * that ends it.
   */
  readonly repeat: (action: () => number) => () => void
}

/**
 * Exchanges reports with all known entry instances.
 *
 * @example
 * const link = await PeerLink.create(options)
 * link.close()
 */
export class PeerLink {
  readonly #stopReports: () => void
  #reportRounds = 0
  #isClosed = false

  private constructor(
    private readonly opts: PeerLinkOptions,
    private readonly socket: Socket,
  ) {
    socket.on('message', (datagram, { address, port }) => {
      try {
        this.#receive(datagram, { host: address, port })
      } catch (err) {
        opts.onFailedInside(err, address)
      }
    })
    socket.on('error', (err) => {
      opts.onFault(codeOf(err))
    })
    this.#stopReports = opts.repeat(() => this.#report())
  }

  static async create(opts: PeerLinkOptions): Promise<PeerLink> {
    const socket = createSocket('udp4')
    await opts.listen(socket)
    return new PeerLink(opts, socket)
  }

  /** UDP port that reports are received on. */
  get port(): number {
    return this.socket.address().port
  }

  /** Sends a report now, to every known instance or only to those of the own zone. */
  send(scope: ReportScope = 'all'): void {
    const addresses = this.opts.peers.addresses(scope)
    if (addresses.length > 0) this.#sendTo(addresses)
  }

  sendPermitMessage(message: PermitMessage, address: ListenAddress): void {
    this.#sendDatagram(encodePermitMessage(message), address)
  }

  sendPlaceDatagram(datagram: PlaceDatagram, address: ListenAddress): void {
    this.#sendDatagram(encodePlaceDatagram(datagram), address)
  }

  sendLoadMessage(message: LoadMessage, addresses: readonly ListenAddress[]): void {
    const datagram = encodeLoadMessage(message)
    for (const address of addresses) this.#sendDatagram(datagram, address)
  }

  close(): void {
    this.#isClosed = true
    this.#stopReports()
    this.socket.close()
  }

  #receive(datagram: Buffer, from: ListenAddress): void {
    const { opts } = this
    if (from.port === 0) {
      opts.onFault('no port to answer to')
      return
    }
    const loadMessage = decodeLoadMessage(datagram)
    if (loadMessage) {
      opts.onLoadMessage(loadMessage, from)
      return
    }
    const permitMessage = decodePermitMessage(datagram)
    if (permitMessage) {
      opts.onPermitMessage(permitMessage, from)
      return
    }
    const placeDatagram = decodePlaceDatagram(datagram)
    if (placeDatagram) {
      opts.onPlaceDatagram(placeDatagram, from)
      return
    }
    const report = decodeReport(datagram)
    if (!report) {
      opts.onFault('unreadable datagram')
      return
    }
    const isNew = !opts.peers.isAlive(report.name)
    const cutOffBefore = opts.peers.cutOffServicesOf(report.name)
    if (!opts.peers.applyReport(report, from)) return
    const hasRegained = cutOffBefore.some(
      (service) => report.cutOffServices?.includes(service) !== true,
    )
    if (hasRegained) opts.onPathRegained()
    // Respond at once, so that both instances know each other as soon as one found the
    // other.
    if (isNew && !report.isDraining) this.#sendTo([from])
    opts.onReport(report, from)
  }

  #sendTo(addresses: readonly ListenAddress[]): void {
    const datagram = encodeReport(this.opts.createReport())
    for (const address of addresses) this.#sendDatagram(datagram, address)
  }

  #sendDatagram(datagram: Buffer, { host, port }: ListenAddress): void {
    // A timer of the caller may come later than the close, and a closed socket throws.
    if (this.#isClosed) return
    this.socket.send(datagram, port, host, (err) => {
      if (err) this.opts.onFault(codeOf(err))
    })
  }

  /** Sends the next report; returns the delay before the one after it. */
  #report(): number {
    const peerCount = this.opts.peers.addresses().length
    this.#reportRounds += 1
    this.send(reportScope(peerCount, this.#reportRounds))
    return reportIntervalMs(peerCount)
  }
}

/** Code of an error of a socket; its message names an address, and there are many. */
function codeOf(err: Error): string {
  return 'code' in err ? String(err.code) : 'unknown'
}
