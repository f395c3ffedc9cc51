/**
 * Tells all entry instances the load of each backend server, at a cost for each instance
 * that does not grow with their number.
 *
 * Handles a large fleet, in which an instance meets each server too rarely to know its
 * queue from its own requests. Each instance reports its own loads to two aggregators of its
 * availability zone. They add them up, exchange the sums with the aggregators of the other
 * zones, and send the sum of all to the instances that ask for it. Whoever receives
 * reports is an aggregator, so the instances need not agree on who it is: one whose aggregator
 * stays silent asks the next instance in the order that all share.
 */
import type { Clock } from '@wagtailway/core'
import type { FeedMark } from '../feed/feedState.js'
import type { LiveInstance, PeerAddress } from '../peers/peerTable.js'
import type { PrefillSpeeds } from '../placement/prefillSpeeds.js'
import type { LoadTable } from '../placement/serverLoad.js'
import { AggregatorWatch } from './aggregatorWatch.js'
import { ROWS_PER_DATAGRAM, splitReport } from './loadMessage.js'
import type { LoadMessage, LoadReport } from './loadMessage.js'
import { lowerQuartiles, meanSpeeds, sumLoads } from './loadSums.js'
import type { LoadsByHash, SharedSpeeds } from './loadSums.js'
import { ReceivedReport } from './receivedReport.js'

/**
 * Interval at which instances report their own loads, in milliseconds, and at which the
 * sums of up to `ROWS_PER_DATAGRAM` servers are sent; larger ones are sent less often.
 */
export const REPORT_INTERVAL_MS = 300

/**
 * Longest interval at which an instance repeats a report that has not changed, in
 * milliseconds.
 */
const UNCHANGED_INTERVAL_MS = 900

/** Aggregators to which an instance reports: one answers, the other one stands by. */
const AGGREGATORS_PER_ZONE = 2

/** Only every second sum holds how far its sender has followed the store. */
const MARKS_EVERY = 2

/** Only every fourth report holds prefill speeds, because they change slowly. */
const SPEEDS_EVERY = 4

/** Time without a report after which an aggregator counts as silent, in milliseconds. */
const SILENT_AFTER_MS = 4 * REPORT_INTERVAL_MS

/** Time for which it is remembered what was reported to an aggregator, in milliseconds. */
const SENT_REPORT_TTL_MS = 10_000

/** Intervals after which the loads of the fleet expire. */
const FLEET_TTL_INTERVALS = 10

export interface LoadExchangeOptions {
  readonly name: string
  readonly zone: string
  readonly clock: Clock
  readonly load: LoadTable
  readonly prefillSpeeds: PrefillSpeeds
  /** How far this instance has followed the store. */
  readonly marks: () => readonly FeedMark[]
  /** Live instances by zone, this one included, in an order that all instances share. */
  readonly instancesByZone: () => ReadonlyMap<string, readonly LiveInstance[]>
  readonly send: (message: LoadMessage, addresses: readonly PeerAddress[]) => void
  /** Called when the first of the fleet's loads arrive, and when they stop. */
  readonly onChange: (state: LoadExchangeState) => void
}

/** Whether recent loads of all instances are known, and from which aggregator. */
export interface LoadExchangeState {
  readonly isActive: boolean
  readonly aggregator: string | undefined
}

/** Loads and speeds of several instances. */
interface Sum {
  readonly instances: number
  readonly loads: LoadsByHash
  readonly speeds: SharedSpeeds
}

/** What this instance last reported to one aggregator. */
interface SentReport {
  readonly loads: LoadsByHash
  readonly wantsFleet: boolean
  readonly sentAtMs: number
}

/**
 * Sends and receives the reports of one instance; `advance` is to be called every
 * `REPORT_INTERVAL_MS`.
 *
 * @example
 * const exchange = LoadExchange.create(options)
 * exchange.advance()
 * exchange.receive(message, from)
 */
export class LoadExchange {
  /** Reports of the instances that this one aggregates for, by name. */
  readonly #members = new Map<string, ReceivedReport>()
  /** Sums of zones: the last one of each other aggregator, by its name. */
  readonly #zoneSums = new Map<string, ReceivedReport>()
  readonly #fleetSums = new Map<string, ReceivedReport>()
  readonly #lastSent = new Map<string, SentReport>()
  /** Aggregators of the own zone, which are asked for the loads of the fleet. */
  readonly #ownAggregators: AggregatorWatch
  /** Aggregators of all zones, which are told the sum of the own zone. */
  readonly #allAggregators: AggregatorWatch
  #rounds = 0
  #wasActive = false

  private constructor(private readonly opts: LoadExchangeOptions) {
    this.#ownAggregators = AggregatorWatch.create(opts.clock, SILENT_AFTER_MS)
    this.#allAggregators = AggregatorWatch.create(opts.clock, SILENT_AFTER_MS)
  }

  static create(opts: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(opts)
  }

  /** Reports to the aggregators and, as one of them, sends out the sums. */
  advance(): void {
    this.#rounds += 1
    this.#removeOutdated()
    const zones = this.opts.instancesByZone()
    const aggregators = this.#selectOwnAggregators(zones.get(this.opts.zone) ?? [])
    this.#reportTo(aggregators)
    const isFirst = aggregators[0] !== undefined && !aggregators[0].address
    if (isFirst || this.#members.size > 0) this.#aggregate(zones, isFirst)
    const isActive = this.opts.load.hasFleetLoads
    if (isActive === this.#wasActive) return
    this.#wasActive = isActive
    this.opts.onChange({ isActive, aggregator: aggregators[0]?.name })
  }

  /** Applies a message of another instance; one without a port could not be sent anything. */
  receive(message: LoadMessage, from: PeerAddress): void {
    const { sender, scope } = message
    if (sender === this.opts.name || from.port === 0) return
    const reports = {
      instance: this.#members,
      zone: this.#zoneSums,
      fleet: this.#fleetSums,
    }[scope]
    const report = reports.get(sender) ?? ReceivedReport.create(from)
    reports.set(sender, report)
    report.apply(message, from, this.opts.clock())
    if (scope === 'zone') this.#allAggregators.recordReport(sender)
    if (scope !== 'fleet') return
    this.#ownAggregators.recordReport(sender)
    this.#applyFleet(report, this.#lastSent.get(sender)?.loads)
  }

  /** The first live instances of the own zone that have not stayed silent. */
  #selectOwnAggregators(zone: readonly LiveInstance[]): readonly LiveInstance[] {
    const aggregators = firstOf(zone, this.#ownAggregators)
    this.#ownAggregators.retain(new Set(aggregators.map(({ name }) => name)))
    const [first, second] = aggregators
    if (!first?.address) return aggregators
    this.#ownAggregators.expect(first.name)
    if (second?.address && this.#ownAggregators.isLate(first.name))
      this.#ownAggregators.expect(second.name)
    return aggregators
  }

  /** Sends the loads of this instance, unless they are the same as before. */
  #reportTo(aggregators: readonly LiveInstance[]): void {
    const { load, prefillSpeeds, clock } = this.opts
    const loads = load.localLoadsByHash
    const nowMs = clock()
    for (const [i, { name, address }] of aggregators.entries()) {
      if (!address) continue
      const first = aggregators[0]?.name ?? name
      const wantsFleet = i === 0 || this.#ownAggregators.isLate(first)
      const last = this.#lastSent.get(name)
      const isDue = !last || nowMs - last.sentAtMs >= UNCHANGED_INTERVAL_MS
      const isSame = last?.wantsFleet === wantsFleet && hasSameLoads(last.loads, loads)
      if (!isDue && isSame) continue
      this.#lastSent.set(name, { loads, wantsFleet, sentAtMs: nowMs })
      this.#send(
        {
          scope: 'instance',
          wantsFleet,
          instances: 1,
          intervalMs: UNCHANGED_INTERVAL_MS,
          loads,
          speeds: this.#hasSpeeds
            ? lowerQuartiles([prefillSpeeds.localSpeeds])
            : new Map(),
          marks: [],
        },
        [address],
      )
    }
  }

  /** Adds up the loads of the zone and of the fleet, and sends both to whom they concern. */
  #aggregate(
    zones: ReadonlyMap<string, readonly LiveInstance[]>,
    isFirst: boolean,
  ): void {
    const { load, prefillSpeeds } = this.opts
    const ownLoads = load.localLoadsByHash
    const members = [...this.#members.values()]
    const zoneSum: Sum = {
      instances: members.length + 1,
      loads: sumLoads([ownLoads, ...members.map(({ loads }) => loads)]),
      speeds: lowerQuartiles([
        prefillSpeeds.localSpeeds,
        ...members.map(({ speeds }) => singleSpeeds(speeds)),
      ]),
    }
    this.#sendSum('zone', zoneSum, this.#selectAggregators(zones))
    const sums = this.#largestSums(zoneSum)
    const fleetSum: Sum = {
      instances: sums.reduce((total, { instances }) => total + instances, 0),
      loads: sumLoads(sums.map(({ loads }) => loads)),
      speeds: meanSpeeds(sums.map(({ speeds }) => speeds)),
    }
    const askers = members.filter(({ wantsFleet }) => wantsFleet)
    this.#sendSum(
      'fleet',
      fleetSum,
      askers.map(({ address }) => address),
    )
    if (isFirst)
      this.#applyFleet({ ...fleetSum, intervalMs: REPORT_INTERVAL_MS }, ownLoads)
  }

  /**
   * The sum of each zone; of several aggregators, that of the most instances. One that few
   * instances report to knows its own zone from another aggregator.
   */
  #largestSums(ownSum: Sum): Sum[] {
    const largest = new Map<string, Sum>([[this.opts.zone, ownSum]])
    for (const sum of this.#zoneSums.values()) {
      const other = largest.get(sum.zone)
      if (!other || other.instances < sum.instances) largest.set(sum.zone, sum)
    }
    return [...largest.values()]
  }

  /** Addresses of the other aggregators of all zones. */
  #selectAggregators(zones: ReadonlyMap<string, readonly LiveInstance[]>): PeerAddress[] {
    const addresses = new Map<string, PeerAddress>()
    for (const instances of zones.values()) {
      for (const { name, address } of firstOf(instances, this.#allAggregators))
        if (address) addresses.set(name, address)
    }
    this.#allAggregators.retain(new Set(addresses.keys()))
    for (const name of addresses.keys()) this.#allAggregators.expect(name)
    // Others may aggregate too, if the first ones are down.
    for (const [name, { address }] of this.#zoneSums) addresses.set(name, address)
    return [...addresses.values()]
  }

  #applyFleet(
    { loads, speeds, intervalMs }: Sum & { readonly intervalMs: number },
    ownLoads: LoadsByHash = new Map(),
  ): void {
    const ttlMs = FLEET_TTL_INTERVALS * Math.max(REPORT_INTERVAL_MS, intervalMs)
    this.opts.load.applyFleet(loads, ownLoads, ttlMs)
    if (speeds.size > 0) this.opts.prefillSpeeds.applyFleet(speeds)
  }

  /** Sends a sum, in fewer rounds the more datagrams it takes. */
  #sendSum(scope: 'zone' | 'fleet', sum: Sum, addresses: readonly PeerAddress[]): void {
    const datagrams = Math.max(1, Math.ceil(sum.loads.size / ROWS_PER_DATAGRAM))
    if (this.#rounds % datagrams !== 0) return
    const intervalMs = REPORT_INTERVAL_MS * datagrams
    const speeds = this.#hasSpeeds || datagrams > 1 ? sum.speeds : new Map()
    const hasMarks = this.#rounds % MARKS_EVERY === 0 || datagrams > 1
    const marks = hasMarks ? this.opts.marks() : []
    this.#send({ ...sum, speeds, marks, scope, wantsFleet: false, intervalMs }, addresses)
  }

  /** Whether the reports of this round hold prefill speeds. */
  get #hasSpeeds(): boolean {
    return this.#rounds % SPEEDS_EVERY === 0
  }

  #send(
    report: Omit<LoadReport, 'sender' | 'zone'>,
    addresses: readonly PeerAddress[],
  ): void {
    if (addresses.length === 0) return
    const { name, zone, send } = this.opts
    for (const message of splitReport({ ...report, sender: name, zone }))
      send(message, addresses)
  }

  #removeOutdated(): void {
    const nowMs = this.opts.clock()
    for (const reports of [this.#members, this.#zoneSums, this.#fleetSums])
      for (const [name, report] of reports)
        if (report.isOutdated(nowMs)) reports.delete(name)
    for (const [name, { sentAtMs }] of this.#lastSent)
      if (nowMs - sentAtMs >= SENT_REPORT_TTL_MS) this.#lastSent.delete(name)
  }
}

/** The first instances of a zone that are not passed over. */
function firstOf(
  zone: readonly LiveInstance[],
  watch: AggregatorWatch,
): readonly LiveInstance[] {
  return zone
    .filter(({ name }) => !watch.isPassedOver(name))
    .slice(0, AGGREGATORS_PER_ZONE)
}

function hasSameLoads(a: LoadsByHash, b: LoadsByHash): boolean {
  return (
    a.size === b.size &&
    [...a].every(([hash, { running, waitingMs }]) => {
      const other = b.get(hash)
      return (
        other?.running === running &&
        other.waitingMs.length === waitingMs.length &&
        waitingMs.every((ms, level) => other.waitingMs[level] === ms)
      )
    })
  )
}

function singleSpeeds(
  speeds: SharedSpeeds,
): ReadonlyMap<string, readonly (number | undefined)[]> {
  return new Map(
    [...speeds].map(([model, byLength]) => [
      model,
      byLength.map((speed) => speed?.msPerToken),
    ]),
  )
}
