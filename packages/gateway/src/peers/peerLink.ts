/** Sends and receives reports of entry instances as datagrams. */
import { createSocket, type Socket } from 'node:dgram'
import { decodeReport, encodeReport, type PeerReport } from './peerReport.js'
import { SMALL_FLEET } from '../feed/pollSchedule.js'
import type { ListenAddress } from '../http/callerServer.js'
import type { PeerTable } from './peerTable.js'

/** Shortest pause between two reports, in milliseconds. */
const REPORT_MS = 300

/** Pause for each instance that gets a report, in milliseconds: bounds what a node spends. */
const REPORT_MS_PER_PEER = 8

/** Instances of other zones get each so many-th report only, in a large fleet. */
const FAR_EVERY = 3

export interface PeerLinkOptions {
  readonly host: string
  readonly port: number
  readonly book: PeerTable
  readonly makeReport: () => PeerReport
  readonly onReport: (report: PeerReport, from: ListenAddress) => void
  /** Called for each datagram that is no report, and each failed send. */
  readonly onFault: (detail: string) => void
}

/**
 * Exchanges reports with all known entry instances.
 *
 * @example
 * const link = await PeerLink.create(options)
 * link.close()
 */
export class PeerLink {
  #timer: NodeJS.Timeout | undefined
  #ticks = 0

  private constructor(
    private readonly opts: PeerLinkOptions,
    private readonly socket: Socket,
  ) {
    socket.on('message', (datagram, { address, port }) => {
      const report = decodeReport(datagram)
      if (!report) {
        opts.onFault('unreadable datagram')
        return
      }
      const from = { host: address, port }
      const isNew = !opts.book.isAlive(report.name)
      if (!opts.book.heard(report, from)) return
      // Two instances know each other as soon as one has found the other.
      if (isNew && !report.isLeaving) this.#sendTo([from])
      opts.onReport(report, from)
    })
    socket.on('error', (err) => {
      opts.onFault(err.message)
    })
    this.#schedule(0)
  }

  static async create(opts: PeerLinkOptions): Promise<PeerLink> {
    const socket = createSocket('udp4')
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject)
      socket.bind(opts.port, opts.host, () => {
        socket.off('error', reject)
        resolve()
      })
    })
    return new PeerLink(opts, socket)
  }

  /** Sends a report now, to every known instance or those of the own zone. */
  send(reach: 'all' | 'zone' = 'all'): void {
    const addresses = this.opts.book.addresses(reach)
    if (addresses.length > 0) this.#sendTo(addresses)
  }

  close(): void {
    clearTimeout(this.#timer)
    this.socket.close()
  }

  #sendTo(addresses: readonly ListenAddress[]): void {
    const { makeReport, onFault } = this.opts
    const datagram = encodeReport(makeReport())
    for (const { host, port } of addresses) {
      this.socket.send(datagram, port, host, (err) => {
        if (err) onFault(err.message)
      })
    }
  }

  #schedule(peers: number): void {
    const pauseMs = Math.max(REPORT_MS, peers * REPORT_MS_PER_PEER)
    this.#timer = setTimeout(() => {
      const count = this.opts.book.addresses().length
      this.#ticks += 1
      const isFarTurn = count <= SMALL_FLEET || this.#ticks % FAR_EVERY === 0
      this.send(isFarTurn ? 'all' : 'zone')
      this.#schedule(count)
    }, pauseMs)
  }
}
