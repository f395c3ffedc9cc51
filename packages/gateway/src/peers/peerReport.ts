/** Reports that entry instances send each other several times a second. */
import { isComparable, type FeedMark } from '../feed/feedState.js'
import { LOWEST_URGENCY } from '../model/urgency.js'
import {
  MAX_MS_PER_TOKEN,
  type SpeedsByContextLength,
} from '../placement/prefillSpeeds.js'
import type { CrashReport } from '../quarantine/crashQuarantine.js'
import {
  encodeCrashReport,
  readCrashReport,
  type WireCrashReport,
} from './crashMessage.js'
import type { ReportedLimit } from '../limits/serverLimits.js'
import type { ReportedStatement, StatementType } from '../statements/serverStatement.js'
import type { ServerLoad } from '../placement/serverLoad.js'
import {
  MAX_DURATION_CLASS,
  type Observation,
  type Outcome,
  type RolloutObservations,
} from '../rollout/observation.js'
import {
  MAX_AMOUNT,
  UnreadableValueError,
  readAmount,
  readList,
  readNumber,
  readOptional,
  readOrdinal,
  readText,
} from './wireValues.js'

/** A running rollout as one entry instance knows it. */
export interface ReportedRollout {
  readonly service: string
  readonly target: string
  readonly elapsedMs: number
  /** Whether that instance has stopped using the target for good. */
  readonly isWithdrawn: boolean
}

/** A report of one entry instance about itself. */
export interface PeerReport {
  readonly name: string
  readonly zone: string
  /** Bandwidth of its machine's link, in megabits per second. */
  readonly linkMbps: number
  /**
   * Increases with each report. Starts at the wall clock time, so that it also increases
   * over a restart.
   */
  readonly sequence: number
  readonly isDraining: boolean
  /** Load from this instance by id of the backend server. */
  readonly loads: ReadonlyMap<string, ServerLoad>
  /** What this instance observed of the responses in each running rollout. */
  readonly evidence: readonly RolloutObservations[]
  readonly rollouts: readonly ReportedRollout[]
  /** Hashes of recently used sessions on versions that are being replaced. */
  readonly sessionHashes: readonly number[]
  /**
   * Ids of backend servers that were recently unreachable, also for an instance of another
   * availability zone.
   */
  readonly unreachableServers: readonly string[]
  /** Prefill speeds by model and context length; included in some reports only. */
  readonly prefillSpeeds: ReadonlyMap<string, SpeedsByContextLength>
  /** How far this instance has followed each kind of store object. */
  readonly feedMarks: readonly FeedMark[]
  readonly crashReport: CrashReport
  /** Rate limits of backend servers; `undefined` in reports of earlier builds. */
  readonly limits: readonly ReportedLimit[] | undefined
  /** Services that this instance can't reach; `undefined` in reports of earlier builds. */
  readonly cutOffServices: readonly string[] | undefined
  /** What servers said of themselves in responses to this instance. */
  readonly statements: readonly ReportedStatement[]
}

/** Decimal places of prefill speeds, in milliseconds per token. */
const PREFILL_SPEED_DIGITS = 4

/** Wire format; arrays save most of the bytes that field names would take. */
type WireReport = [
  name: string,
  sequence: number,
  isDraining: 0 | 1,
  /** The waiting time by urgency is absent in reports of earlier builds. */
  loads: [id: string, running: number, waitingMs: number, byUrgency?: number[]][],
  /** Counts by server in reports of earlier builds, which later ones leave empty. */
  countsByServer: unknown[],
  /** The withdrawal is absent in reports of earlier builds. */
  rollouts: [string, string, elapsedMs: number, isWithdrawn?: 0 | 1][],
  sessionHashes: number[],
  zone: string,
  /** The era and the hops are absent in reports of earlier builds. */
  feedMarks: [string, number, number, number, era?: number, hops?: number][],
  unreachableServers: string[],
  prefillSpeeds: [string, (number | null)[]][],
  /** Absent in reports of earlier builds. */
  linkMbps?: number,
  /** Absent in reports of earlier builds, and while nothing has crashed. */
  crashReport?: WireCrashReport | null,
  /** Absent in reports of earlier builds. */
  evidence?: WireEvidence[],
  /** Absent in reports of earlier builds. No number if the server no longer names one. */
  limits?: [incarnation: string, requestsPerS: number | null, ageMs: number][],
  /** Absent in reports of earlier builds. */
  cutOffServices?: string[],
  /** Absent in reports of earlier builds. */
  statements?: WireStatement[],
]

type WireStatement = [
  incarnation: string,
  service: string,
  type: number,
  value: number | null,
  ageMs: number,
  relay?: string,
]

/** Types of statements in the order of their numbers on the wire. */
const STATEMENT_TYPES: readonly StatementType[] = ['leaving', 'hold', 'brittle']

type WireEvidence = [
  service: string,
  target: string,
  groups: string[],
  servers: string[],
  /**
   * Five numbers for each observation: the index of its group and of its server, or -1 for
   * the old version, its outcome, its age in seconds and its count.
   */
  rows: number[],
]

const NUMBERS_PER_ROW = 5
const MS_PER_SECOND = 1_000

/** Outcomes that are no class of durations, on the wire. */
const WIRE_FAILED = -1
const WIRE_OK = -2

/** Report of an instance that knows of no crash and no quarantined trait. */
export const NO_CRASH_REPORT: CrashReport = { crashes: [], sound: [], traits: [] }

/**
 * Encodes a report for one datagram.
 *
 * @example
 * socket.send(encodeReport(report), port, host)
 */
export function encodeReport(report: PeerReport): Buffer {
  const encoded: WireReport = [
    report.name,
    report.sequence,
    report.isDraining ? 1 : 0,
    [...report.loads].map(([id, { running, waitingMs }]) => [
      id,
      running,
      Math.round(waitingMs.reduce((sum, ms) => sum + ms, 0)),
      Array.from(waitingMs, (ms) => Math.round(ms ?? 0)),
    ]),
    [],
    report.rollouts.map(({ service, target, elapsedMs, isWithdrawn }) => [
      service,
      target,
      Math.round(elapsedMs),
      isWithdrawn ? 1 : 0,
    ]),
    [...report.sessionHashes],
    report.zone,
    report.feedMarks.map(({ kind, changedAt, asOf, ageMs, era, hops }) => [
      kind,
      changedAt,
      asOf,
      Math.round(ageMs),
      era,
      hops,
    ]),
    [...report.unreachableServers],
    [...report.prefillSpeeds].map(([model, byLength]) => [
      model,
      Array.from(byLength, (ms) =>
        ms === undefined ? null : Number(ms.toFixed(PREFILL_SPEED_DIGITS)),
      ),
    ]),
    report.linkMbps,
    encodeCrashReport(report.crashReport),
    report.evidence.map(encodeEvidence),
    report.limits?.map(({ incarnation, requestsPerS, ageMs }) => [
      incarnation,
      requestsPerS ?? null,
      Math.round(ageMs),
    ]),
    report.cutOffServices && [...report.cutOffServices],
    report.statements.map(({ incarnation, service, type, value, ageMs, relay }) => [
      incarnation,
      service,
      STATEMENT_TYPES.indexOf(type),
      value ?? null,
      Math.round(ageMs),
      relay,
    ]),
  ]
  return Buffer.from(JSON.stringify(encoded))
}

/**
 * Decodes a datagram; `undefined` if it is not a report.
 *
 * @example
 * const report = decodeReport(datagram)
 */
export function decodeReport(datagram: Buffer): PeerReport | undefined {
  try {
    return readReport(readList(JSON.parse(datagram.toString())))
  } catch {
    // Any data may arrive on an open port; the calling code counts undecodable datagrams.
    return undefined
  }
}

function readReport(wire: readonly unknown[]): PeerReport {
  const [name, sequence, isDraining, loads, , rollouts, ...rest] = wire
  const [sessionHashes, zone, feedMarks, unreachableServers, ...last] = rest
  const [prefillSpeeds, linkMbps, crashReport, evidence, limits, ...latest] = last
  const [cutOffServices, statements] = latest
  return {
    name: readText(name),
    sequence: readOrdinal(sequence),
    isDraining: isDraining === 1,
    loads: new Map(readList(loads).map(readLoad)),
    evidence: readOptional(evidence, readList)?.map(readEvidence) ?? [],
    rollouts: readList(rollouts).map(readRollout),
    sessionHashes: readList(sessionHashes).map((hash) => readAmount(hash)),
    zone: readText(zone),
    linkMbps: readOptional(linkMbps, readLinkMbps) ?? 0,
    unreachableServers: readList(unreachableServers).map(readText),
    prefillSpeeds: new Map(readList(prefillSpeeds).map(readSpeeds)),
    feedMarks: readList(feedMarks).flatMap(readFeedMark),
    crashReport: readOptional(crashReport, readCrashReport) ?? NO_CRASH_REPORT,
    limits: readOptional(limits, readList)?.map(readLimit),
    cutOffServices: readOptional(cutOffServices, readList)?.map(readText),
    statements: readOptional(statements, readList)?.flatMap(readStatement) ?? [],
  }
}

function readLinkMbps(value: unknown): number {
  return readNumber(value, MAX_AMOUNT)
}

function readLoad(row: unknown): [string, ServerLoad] {
  const [id, running, waitingMs, byUrgency] = readList(row)
  return [
    readText(id),
    {
      running: readAmount(running),
      waitingMs: readOptional(byUrgency, readWaits) ?? [readAmount(waitingMs)],
    },
  ]
}

/** A level without any wait is null. */
function readWaits(value: unknown): number[] {
  const waits = readList(value)
  return waits.slice(0, LOWEST_URGENCY + 1).map((ms) => readAmount(ms ?? 0))
}

function readRollout(row: unknown): ReportedRollout {
  const [service, target, elapsedMs, isWithdrawn] = readList(row)
  return {
    service: readText(service),
    target: readText(target),
    elapsedMs: readAmount(elapsedMs),
    isWithdrawn: isWithdrawn === 1,
  }
}

function readSpeeds(row: unknown): [string, SpeedsByContextLength] {
  const [model, byLength] = readList(row)
  return [readText(model), readList(byLength).map((ms) => readOptional(ms, readSpeed))]
}

function readSpeed(value: unknown): number {
  return readNumber(value, MAX_MS_PER_TOKEN)
}

/**
 * A mark with a position that can't be compared is left out, as an earlier build passes on what
 * its store answered; the rest of its report counts.
 */
function readFeedMark(row: unknown): FeedMark[] {
  const [kind, changedAt, asOf, ageMs, era, hops] = readList(row)
  const mark = {
    kind: readText(kind),
    era: readOptional(era, readAnyNumber),
    changedAt: readAnyNumber(changedAt),
    asOf: readAnyNumber(asOf),
    ageMs: readAmount(ageMs),
    hops: readOptional(hops, readCount),
  }
  return isComparable(mark) ? [mark] : []
}

function readAnyNumber(value: unknown): number {
  if (typeof value === 'number') return value
  throw new UnreadableValueError('expected a number')
}

function readCount(value: unknown): number {
  return readAmount(value)
}

function readLimit(row: unknown): ReportedLimit {
  const [incarnation, requestsPerS, ageMs] = readList(row)
  return {
    incarnation: readText(incarnation),
    requestsPerS: readOptional(requestsPerS, readRate),
    ageMs: readAmount(ageMs),
  }
}

function readRate(value: unknown): number {
  return readNumber(value, MAX_AMOUNT)
}

/** A type that only later builds know is left out. */
function readStatement(row: unknown): ReportedStatement[] {
  const [incarnation, service, typeNumber, value, ageMs, relay] = readList(row)
  const type = STATEMENT_TYPES[readOrdinal(typeNumber)]
  if (!type) return []
  return [
    {
      incarnation: readText(incarnation),
      service: readText(service),
      type,
      value: readOptional(value, readRate),
      ageMs: readAmount(ageMs),
      relay: readOptional(relay, readText),
    },
  ]
}

function encodeEvidence({
  service,
  target,
  observations,
}: RolloutObservations): WireEvidence {
  const groups = [...new Set(observations.map(({ group }) => group))]
  const servers = [...new Set(observations.flatMap(({ server }) => server ?? []))]
  const rows = observations.flatMap(({ group, server, outcome, ageMs, count }) => [
    groups.indexOf(group),
    server === undefined ? -1 : servers.indexOf(server),
    encodeOutcome(outcome),
    Math.round(ageMs / MS_PER_SECOND),
    count,
  ])
  return [service, target, groups, servers, rows]
}

function readEvidence(row: unknown): RolloutObservations {
  const [service, target, groups, servers, rows] = readList(row)
  const groupNames = readList(groups).map(readText)
  const serverIds = readList(servers).map(readText)
  const numbers = readList(rows)
  const observations: Observation[] = []
  for (let i = 0; i < numbers.length; i += NUMBERS_PER_ROW) {
    observations.push({
      group: groupNames[Number(numbers[i])] ?? '',
      server: serverIds[Number(numbers[i + 1])],
      outcome: readOutcome(numbers[i + 2]),
      ageMs: readAmount(numbers[i + 3]) * MS_PER_SECOND,
      count: readAmount(numbers[i + 4]),
    })
  }
  return { service: readText(service), target: readText(target), observations }
}

function encodeOutcome(outcome: Outcome): number {
  if (typeof outcome === 'number') return outcome
  return outcome === 'ok' ? WIRE_OK : WIRE_FAILED
}

function readOutcome(value: unknown): Outcome {
  if (value === WIRE_OK) return 'ok'
  return value === WIRE_FAILED ? 'failed' : readAmount(value, MAX_DURATION_CLASS)
}
