/** The promises that the soak checks, from what callers and backend servers saw. */
import type { ReplicaRun } from '@wagtailway/standins'
import { eventIds, type FleetAnswer } from '../fleet/fleetClient.js'

/** One request as its caller saw it. */
export interface SoakCall {
  readonly id: string
  readonly kind: 'plain' | 'once' | 'stream'
  readonly path: string
  readonly answer: FleetAnswer
}

/** Times at which a replica was told to be leaving and ready again, in milliseconds. */
export interface Leave {
  readonly replica: string
  readonly fromMs: number
  untilMs: number
}

export interface SoakRecord {
  readonly calls: readonly SoakCall[]
  /** Runs of each replica. */
  readonly runs: ReadonlyMap<string, readonly ReplicaRun[]>
  readonly leaves: readonly Leave[]
  /** Whether any bound on following the store counts at a time. */
  readonly isCalm: (fromMs: number, untilMs: number) => boolean
}

const STREAM_EVENTS = 5

/** Time within which a leaving replica gets its last request, in milliseconds. */
const LEAVE_BOUND_MS = 2_000

/**
 * All broken promises of a run.
 *
 * @example
 * checkSoak(record) // [] if all was kept
 */
export function checkSoak(record: SoakRecord): string[] {
  const runsById = new Map<string, number>()
  for (const run of [...record.runs.values()].flat()) {
    runsById.set(run.requestId, (runsById.get(run.requestId) ?? 0) + 1)
  }
  const findings = record.calls.flatMap((call) =>
    checkCall(call, runsById.get(call.id) ?? 0).map((text) => `${call.id}: ${text}`),
  )
  return [...findings, ...checkLeaves(record)]
}

function checkCall({ kind, path, answer }: SoakCall, runs: number): string[] {
  const findings: string[] = []
  if (kind === 'once' && runs > 1) findings.push(`ran ${runs} times`)
  if (kind === 'once' && answer.status === 503 && runs > 0) {
    findings.push('was called not run and had run')
  }
  if ([400, 401, 403, 404].includes(answer.status)) {
    findings.push(`was denied with ${answer.status}`)
  }
  if (answer.status !== 200) return findings
  if (kind === 'stream') findings.push(...checkEvents(answer))
  else if (answer.isWhole && !answer.body.includes(` ${path} by `)) {
    findings.push(`got another answer: ${answer.body}`)
  }
  return findings
}

function checkEvents({ body, isWhole }: FleetAnswer): string[] {
  const ids = eventIds(body)
  const isInOrder = ids.every((id, i) => id === i + 1)
  if (!isInOrder) return [`events out of order: ${ids.join(' ')}`]
  return isWhole && ids.length !== STREAM_EVENTS
    ? [`looked complete after ${ids.length} events`]
    : []
}

function checkLeaves({ leaves, runs, isCalm }: SoakRecord): string[] {
  return leaves.flatMap(({ replica, fromMs, untilMs }) =>
    (runs.get(replica) ?? [])
      .filter(({ atMs }) => atMs > fromMs + LEAVE_BOUND_MS && atMs < untilMs)
      .filter(({ atMs }) => isCalm(fromMs, atMs))
      .map(({ requestId }) => `${requestId}: reached ${replica} after it had left`),
  )
}
