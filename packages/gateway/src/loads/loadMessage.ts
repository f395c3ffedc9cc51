/**
 * Messages in which entry instances tell each other the loads of backend servers, and how
 * far they have followed the store.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { LoadReportSchema, LoadReport_Scope } from '@wagtailway/protocol'
import { isComparable, type FeedMark } from '../feed/feedState.js'
import { LOWEST_URGENCY } from '../model/urgency.js'
import { MAX_AMOUNT } from '../peers/wireValues.js'
import { MAX_MS_PER_TOKEN } from '../placement/prefillSpeeds.js'
import type { ServerLoad } from '../placement/serverLoad.js'
import type { LoadsByHash, SharedSpeed, SharedSpeeds } from './loadSums.js'

/**
 * Whose loads a report holds: those of its sender alone, of all instances of the sender's
 * availability zone or of all instances.
 */
export type LoadScope = 'instance' | 'zone' | 'fleet'

/** One datagram of a report. */
export interface LoadMessage {
  readonly scope: LoadScope
  readonly sender: string
  readonly zone: string
  /** Time until the sender's next report, in milliseconds. */
  readonly intervalMs: number
  /** Whether the sender asks for the loads of the fleet. */
  readonly wantsFleet: boolean
  /** Number of instances whose loads are added up. */
  readonly instances: number
  /** Range of hashes that the datagram covers; a server without a row has no load. */
  readonly firstHash: number
  readonly lastHash: number
  readonly loads: LoadsByHash
  /** In the first datagram of a report only. */
  readonly speeds: SharedSpeeds
  /** How far the sender has followed the store; in the first datagram only. */
  readonly marks: readonly FeedMark[]
}

export type LoadReport = Omit<LoadMessage, 'firstHash' | 'lastHash'>

/** First byte of all datagrams; JSON, in which other messages are encoded, has another. */
const FIRST_BYTE = 0x4c

/** Rows of one datagram, which must fit a packet of 1,400 bytes. */
export const ROWS_PER_DATAGRAM = 150

const MAX_HASH = 0xffffffff

/** Longest interval between two reports of a sender that is believed, in milliseconds. */
const MAX_INTERVAL_MS = 60_000

const SCOPES: Readonly<Record<LoadScope, LoadReport_Scope>> = {
  instance: LoadReport_Scope.INSTANCE,
  zone: LoadReport_Scope.ZONE,
  fleet: LoadReport_Scope.FLEET,
}

/**
 * Splits a report into as many messages as it has datagrams, at least one.
 *
 * @example
 * for (const message of splitReport(report)) send(encodeLoadMessage(message))
 */
export function splitReport(report: LoadReport): LoadMessage[] {
  const rows = [...report.loads].toSorted(([a], [b]) => a - b)
  const messages: LoadMessage[] = []
  let firstHash = 0
  for (let start = 0; start === 0 || start < rows.length; start += ROWS_PER_DATAGRAM) {
    const nextStart = start + ROWS_PER_DATAGRAM
    const [nextHash] = rows[nextStart] ?? [MAX_HASH + 1]
    messages.push({
      ...report,
      firstHash,
      lastHash: nextHash - 1,
      loads: new Map(rows.slice(start, nextStart)),
      speeds: start === 0 ? report.speeds : new Map(),
      marks: start === 0 ? report.marks : [],
    })
    firstHash = nextHash
  }
  return messages
}

/**
 * Encodes a message for one datagram.
 *
 * @example
 * socket.send(encodeLoadMessage(message), port, host)
 */
export function encodeLoadMessage(message: LoadMessage): Buffer {
  const allLoads = [...message.loads.values()]
  const levels = levelsOf(allLoads)
  const encoded = toBinary(
    LoadReportSchema,
    create(LoadReportSchema, {
      scope: SCOPES[message.scope],
      sender: message.sender,
      zone: message.zone,
      intervalMs: toUint32(message.intervalMs),
      wantsFleet: message.wantsFleet,
      instances: toUint32(message.instances),
      firstHash: message.firstHash,
      lastHash: message.lastHash,
      servers: [...message.loads.keys()],
      running: allLoads.map(({ running }) => toUint32(running)),
      levels,
      waitingMs: allLoads.flatMap(({ waitingMs }) =>
        levels.map((level) => toUint32(waitingMs[level] ?? 0)),
      ),
      speeds: [...message.speeds].map(([model, byLength]) => ({
        model,
        msPerToken: byLength.map((speed) => toSpeed(speed?.msPerToken ?? 0)),
        instances: byLength.map((speed) => toUint32(speed?.instances ?? 0)),
      })),
      marks: message.marks.map(({ era = 0, ageMs, hops = 0, ...mark }) => ({
        ...mark,
        era: toUint32(era),
        ageMs: toUint32(ageMs),
        hops: toUint32(hops),
      })),
    }),
  )
  return Buffer.concat([Buffer.of(FIRST_BYTE), encoded])
}

/**
 * Decodes a datagram; `undefined` if it is another message or can't be read.
 *
 * @example
 * const message = decodeLoadMessage(datagram)
 */
export function decodeLoadMessage(datagram: Buffer): LoadMessage | undefined {
  if (datagram[0] !== FIRST_BYTE) return undefined
  try {
    const decoded = fromBinary(LoadReportSchema, datagram.subarray(1))
    const scope = scopeOf(decoded.scope)
    if (!scope || decoded.sender === '') return undefined
    const { sender, zone, intervalMs, wantsFleet, instances, firstHash, lastHash } =
      decoded
    const { levels, running, waitingMs } = decoded
    if (levels.length > LOWEST_URGENCY + 1) return undefined
    if (levels.some((level) => level > LOWEST_URGENCY)) return undefined
    const loads = new Map<number, ServerLoad>(
      decoded.servers.map((hash, row) => {
        const load: ServerLoad = { running: running[row] ?? 0, waitingMs: [] }
        for (const [i, level] of levels.entries())
          load.waitingMs[level] = waitingMs[row * levels.length + i] ?? 0
        return [hash, { ...load, waitingMs: Array.from(load.waitingMs, (ms) => ms ?? 0) }]
      }),
    )
    const speeds = new Map(
      decoded.speeds.map(({ model, msPerToken, instances: counts }) => [
        model,
        msPerToken.map((ms, i): SharedSpeed | undefined =>
          ms > 0 && Number.isFinite(ms)
            ? { msPerToken: toSpeed(ms), instances: counts[i] ?? 0 }
            : undefined,
        ),
      ]),
    )
    return {
      scope,
      sender,
      zone,
      intervalMs: Math.min(MAX_INTERVAL_MS, intervalMs),
      wantsFleet,
      instances,
      firstHash,
      lastHash,
      loads,
      speeds,
      // One with a position that can't be compared is left out.
      marks: decoded.marks
        .map(({ kind, era, changedAt, asOf, ageMs, hops }) => ({
          kind,
          era,
          changedAt,
          asOf,
          ageMs,
          hops,
        }))
        .filter(isComparable),
    }
  } catch {
    // Any data may arrive on an open port; the calling code counts undecodable datagrams.
    return undefined
  }
}

/** The nearest number that a field of 32 bits holds; any other makes the encoder throw. */
function toUint32(value: number): number {
  return value > 0 ? Math.min(MAX_AMOUNT, Math.round(value)) : 0
}

function toSpeed(msPerToken: number): number {
  return msPerToken > 0 ? Math.min(MAX_MS_PER_TOKEN, msPerToken) : 0
}

/** Urgency levels at which requests wait. */
function levelsOf(loads: readonly ServerLoad[]): number[] {
  const levels = new Set<number>()
  for (const { waitingMs } of loads)
    for (let level = 0; level <= LOWEST_URGENCY; level += 1)
      if ((waitingMs[level] ?? 0) > 0) levels.add(level)
  return [...levels]
}

function scopeOf(wire: LoadReport_Scope): LoadScope | undefined {
  const scopes: readonly LoadScope[] = ['instance', 'zone', 'fleet']
  return scopes.find((scope) => SCOPES[scope] === wire)
}
