/** Sends a scenario's traffic. */
import { setTimeout as delay } from 'node:timers/promises'
import { seededRandom, type Random } from '@wagtailway/core'
import { isCompleteOutput, promptDigest } from '@wagtailway/standins'
import type { TraceEntry } from '../trace/index.js'
import type { Balancer } from './balancer.js'
import type { RunLog } from './runLog.js'
import {
  isWholeCompletion,
  type CallerRequest,
  type CallerResult,
  type ScenarioCaller,
} from './scenarioCaller.js'
import type { Traffic } from './schema.js'

const MS_PER_SECOND = 1_000

/** What sending takes. */
export interface Senders {
  readonly balancer: Balancer
  readonly caller: ScenarioCaller
  readonly log: RunLog
}

export interface TrafficOptions extends Senders {
  readonly traffic: Traffic
  /** Number of the traffic in its file; with the seed it makes the random numbers. */
  readonly index: number
  readonly seed: number
}

/** One wish of a caller, whatever it takes to have it answered. */
export interface Wish {
  readonly id: string
  readonly traffic: Traffic
  readonly session?: string | undefined
  /** Token of the session, once a first answer has brought it. */
  readonly token?: string | undefined
}

/** Starts requests or sessions at their random times and waits for the end of all. */
export async function sendTraffic(opts: TrafficOptions): Promise<void> {
  const { traffic, index, seed } = opts
  const random: Random = seededRandom(seed * 1_000 + index)
  await delay(traffic.from)
  const running: Promise<unknown>[] = []
  let dueMs = performance.now()
  for (let i = 0; i < traffic.count; i++) {
    const id = `t${index + 1}-${i + 1}`
    running.push(
      traffic.session ? sendSession(opts, id) : sendWish(opts, { id, traffic }),
    )
    dueMs += (-Math.log(1 - random()) / traffic.rate) * MS_PER_SECOND
    await delay(Math.max(0, dueMs - performance.now()))
  }
  await Promise.all(running)
}

/** Sends a session's first requests together and the others one after another. */
async function sendSession(opts: TrafficOptions, id: string): Promise<void> {
  const { traffic } = opts
  const { length, together, token, pause } = traffic.session ?? DEFAULT_SESSION
  const wish = (i: number, known: string): Wish => ({
    id: `${id}-${i + 1}`,
    traffic,
    session: id,
    token: known === '' ? undefined : known,
  })
  const first = Array.from({ length: Math.min(together, length) }, (_, i) => i)
  const firsts = await Promise.all(first.map((i) => sendWish(opts, wish(i, ''))))
  let known = firsts.find((t) => t !== '') ?? ''
  for (let i = first.length; i < length; i++) {
    await delay(pause)
    const next = await sendWish(opts, wish(i, token ? known : ''))
    if (next !== '') known = next
  }
}

const DEFAULT_SESSION = { length: 1, together: 1, token: true, pause: 0 }

/** Sends a wish's copies at once; resolves to the session's token, if one came. */
export async function sendWish(opts: Senders, wish: Wish): Promise<string> {
  const { copies } = wish.traffic
  opts.log.addWish(traceOf(wish))
  const tokens = await Promise.all(
    Array.from({ length: copies }, () => sendUntilWhole(opts, wish)),
  )
  return tokens.find((token) => token !== '') ?? ''
}

async function sendUntilWhole(opts: Senders, wish: Wish): Promise<string> {
  const { retries, retryPause } = wish.traffic
  for (let i = 0; ; i++) {
    const { end, sessionToken } = await sendOnce(opts, wish)
    if (end === 'whole' || end === 'left' || i >= retries) return sessionToken
    await delay(retryPause)
  }
}

async function sendOnce(opts: Senders, wish: Wish): Promise<CallerResult> {
  const { traffic, id, session } = wish
  const router = opts.balancer.next(traffic.via)
  const call = toRequest(wish, router.address)
  const sentAtMs = Date.now()
  const result = await opts.caller.send(call)
  opts.log.addSent({
    end: result.end,
    status: result.status,
    requestId: result.requestId,
    versionKey: result.versionKey,
    reason: result.reason,
    ran: result.ran,
    retryAfterMs: result.retryAfterMs,
    id,
    classKey: traffic.class,
    router: router.name,
    digest: promptDigest(subjectOf(wish)),
    session,
    nonIdempotent: traffic.nonIdempotent,
    sentAtMs,
    endedAtMs: Date.now(),
  })
  return result
}

/** What tells one wish's runs from another's: its prompt, or the path of a service call. */
function subjectOf({ id, traffic }: Wish): string {
  return traffic.service === undefined ? `${traffic.class} request ${id}` : `/call/${id}`
}

function toRequest(wish: Wish, address: string): CallerRequest {
  const { traffic } = wish
  const subject = subjectOf(wish)
  const [, className = ''] = traffic.class.split('/')
  const common = {
    address,
    headers: headersOf(wish, className),
    isService: traffic.service !== undefined,
    leaveAfterMs: traffic.leaveAfter,
    readPauseMs: traffic.readPause,
  }
  if (traffic.service !== undefined) {
    const isWhole = (text: string): boolean => text.includes(JSON.stringify(subject))
    const path = `/v1/services/${traffic.service}${subject}`
    return { ...common, path, body: '{}', stream: false, isWhole }
  }
  const messages = [{ role: 'user', content: subject }]
  return {
    ...common,
    path: '/v1/chat/completions',
    body: JSON.stringify({ model: className, messages, stream: traffic.stream }),
    stream: traffic.stream,
    isWhole: (text) =>
      traffic.stream ? isCompleteOutput(subject, text) : isWholeCompletion(subject, text),
  }
}

function headersOf(wish: Wish, className: string): Record<string, string> {
  const { traffic, session, token } = wish
  const [workspace = ''] = traffic.class.split('/')
  return {
    authorization: `Bearer ${traffic.key ?? `${workspace}-key`}`,
    'wagtailway-class': className,
    ...(session !== undefined && { 'wagtailway-session': session }),
    ...(token !== undefined && { 'wagtailway-session-token': token }),
    ...(traffic.deadline !== undefined && {
      'wagtailway-deadline-ms': String(traffic.deadline),
    }),
    ...(traffic.nonIdempotent && {
      'wagtailway-non-idempotent': 'true',
      'idempotency-key': `key-${wish.id}`,
    }),
  }
}

/** The wish as a trace keeps it. */
function traceOf({ traffic, session }: Wish): Omit<TraceEntry, 'atMs'> {
  return {
    class: traffic.class,
    stream: traffic.stream,
    service: traffic.service,
    session,
    nonIdempotent: traffic.nonIdempotent,
    retries: traffic.retries,
    copies: traffic.copies,
    deadlineMs: traffic.deadline,
    leaveAfterMs: traffic.leaveAfter,
  }
}
