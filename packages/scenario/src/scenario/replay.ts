/** Sends the requests of a recorded trace. */
import { setTimeout as delay } from 'node:timers/promises'
import type { TraceEntry } from '../trace/index.js'
import { trafficSchema, type Traffic } from './schema.js'
import { sendLogicalRequest, type SendContext } from './traffic.js'

/** A trace and the speed at which to send it. */
export interface Replay {
  readonly entries: readonly TraceEntry[]
  /** Speed factor; 2 sends the trace in half of its original time. */
  readonly speed: number
}

/**
 * Sends each request at its recorded time; requests of a session carry its token once one
 * is known.
 */
export async function sendTrace(
  opts: SendContext,
  { entries, speed }: Replay,
): Promise<void> {
  const startMs = performance.now()
  const tokens = new Map<string, string>()
  const running = entries.map(async (entry, i) => {
    await delay(Math.max(0, startMs + entry.atMs / speed - performance.now()))
    const { session } = entry
    const token = session === undefined ? undefined : tokens.get(session)
    const logicalRequest = { id: `r${i + 1}`, traffic: toTraffic(entry), session, token }
    const newToken = await sendLogicalRequest(opts, logicalRequest)
    if (session !== undefined && newToken !== '') tokens.set(session, newToken)
  })
  await Promise.all(running)
}

function toTraffic(entry: TraceEntry): Traffic {
  const { stream, service, nonIdempotent, retries, copies } = entry
  const fields = { class: entry.class, count: 1, stream, service, nonIdempotent }
  return {
    ...trafficSchema.parse({ ...fields, retries, copies }),
    deadline: entry.deadlineMs,
    leaveAfter: entry.leaveAfterMs,
  }
}
