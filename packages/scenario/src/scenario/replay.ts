/** Sends the requests of a recorded trace. */
import { setTimeout as delay } from 'node:timers/promises'
import type { TraceEntry } from '../trace/index.js'
import { trafficSchema, type Traffic } from './schema.js'
import { sendWish, type Senders } from './traffic.js'

/** A trace and how fast to send it. */
export interface Replay {
  readonly entries: readonly TraceEntry[]
  /** 2 sends it in half of its time. */
  readonly speed: number
}

/** Sends each request at its time; requests of a session carry its token once it is known. */
export async function sendTrace(
  opts: Senders,
  { entries, speed }: Replay,
): Promise<void> {
  const startMs = performance.now()
  const tokens = new Map<string, string>()
  const running = entries.map(async (entry, i) => {
    await delay(Math.max(0, startMs + entry.atMs / speed - performance.now()))
    const { session } = entry
    const token = session === undefined ? undefined : tokens.get(session)
    const wish = { id: `r${i + 1}`, traffic: toTraffic(entry), session, token }
    const next = await sendWish(opts, wish)
    if (session !== undefined && next !== '') tokens.set(session, next)
  })
  await Promise.all(running)
}

function toTraffic(entry: TraceEntry): Traffic {
  const { stream, service, nonIdempotent, retries, copies } = entry
  const shape = { class: entry.class, count: 1, stream, service, nonIdempotent }
  return {
    ...trafficSchema.parse({ ...shape, retries, copies }),
    deadline: entry.deadlineMs,
    leaveAfter: entry.leaveAfterMs,
  }
}
