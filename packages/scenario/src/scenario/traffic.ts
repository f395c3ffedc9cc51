/** Sends a scenario's traffic. */
import { setTimeout as delay } from 'node:timers/promises'
import { seededRandom, type Random } from '@wagtailway/core'
import { isCompleteOutput, promptDigest } from '@wagtailway/standins'
import type { TraceEntry } from '../trace/index.js'
import type { Balancer } from './balancer.js'
import type { RunLog } from './runLog.js'
import {
  isCompleteChatResponse,
  type CallerRequest,
  type CallerResult,
  type ScenarioCaller,
} from './scenarioCaller.js'
import type { Traffic } from './schema.js'

const MS_PER_SECOND = 1_000

/** Dependencies of the functions that send requests. */
export interface SendContext {
  readonly balancer: Balancer
  readonly caller: ScenarioCaller
  readonly log: RunLog
}

export interface TrafficOptions extends SendContext {
  readonly traffic: Traffic
  /**
   * Index of the traffic entry in its file; together with `seed` it seeds the random
   * numbers.
   */
  readonly index: number
  readonly seed: number
}

/** One request from the caller's point of view; its copies and retries share the id. */
export interface LogicalRequest {
  readonly id: string
  readonly traffic: Traffic
  readonly session?: string | undefined
  /** Session token, once a response has returned one. */
  readonly token?: string | undefined
}

/** Starts requests or sessions at random intervals and waits until all have ended. */
export async function sendTraffic(opts: TrafficOptions): Promise<void> {
  const { traffic, index, seed } = opts
  const random: Random = seededRandom(seed * 1_000 + index)
  await delay(traffic.from)
  const running: Promise<unknown>[] = []
  let dueMs = performance.now()
  for (let i = 0; i < traffic.count; i++) {
    const id = `t${index + 1}-${i + 1}`
    running.push(
      traffic.session ? sendSession(opts, id) : sendLogicalRequest(opts, { id, traffic }),
    )
    dueMs += (-Math.log(1 - random()) / traffic.rate) * MS_PER_SECOND
    await delay(Math.max(0, dueMs - performance.now()))
  }
  await Promise.all(running)
}

/**
 * Sends the first requests of a session concurrently and the others one after another.
 */
async function sendSession(opts: TrafficOptions, id: string): Promise<void> {
  const { traffic } = opts
  const { length, together, token, pause } = traffic.session ?? DEFAULT_SESSION
  const sessionRequest = (i: number, tokenToSend: string): LogicalRequest => ({
    id: `${id}-${i + 1}`,
    traffic,
    session: id,
    token: tokenToSend === '' ? undefined : tokenToSend,
  })
  const firstIndexes = Array.from({ length: Math.min(together, length) }, (_, i) => i)
  const firstTokens = await Promise.all(
    firstIndexes.map((i) => sendLogicalRequest(opts, sessionRequest(i, ''))),
  )
  let latestToken = firstTokens.find((t) => t !== '') ?? ''
  for (let i = firstIndexes.length; i < length; i++) {
    await delay(pause)
    const newToken = await sendLogicalRequest(
      opts,
      sessionRequest(i, token ? latestToken : ''),
    )
    if (newToken !== '') latestToken = newToken
  }
}

const DEFAULT_SESSION = { length: 1, together: 1, token: true, pause: 0 }

/**
 * Sends all copies of a request concurrently; resolves to the session token, or '' if no
 * response has one.
 */
export async function sendLogicalRequest(
  opts: SendContext,
  request: LogicalRequest,
): Promise<string> {
  const { copies } = request.traffic
  opts.log.addTraceEntry(toTraceEntry(request))
  const tokens = await Promise.all(
    Array.from({ length: copies }, () => sendWithRetries(opts, request)),
  )
  return tokens.find((token) => token !== '') ?? ''
}

async function sendWithRetries(
  opts: SendContext,
  request: LogicalRequest,
): Promise<string> {
  const { retries, retryPause } = request.traffic
  for (let i = 0; ; i++) {
    const { end, sessionToken } = await sendToNextRouter(opts, request)
    if (end === 'whole' || end === 'left' || i >= retries) return sessionToken
    await delay(retryPause)
  }
}

async function sendToNextRouter(
  opts: SendContext,
  request: LogicalRequest,
): Promise<CallerResult> {
  const { traffic, id, session } = request
  const router = opts.balancer.next(traffic.via)
  const call = toCallerRequest(request, router.address)
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
    digest: promptDigest(toPromptOrPath(request)),
    session,
    nonIdempotent: traffic.nonIdempotent,
    sentAtMs,
    endedAtMs: Date.now(),
  })
  return result
}

/**
 * The prompt, or the path of a service call; it identifies the runs of a request at
 * backend servers.
 */
function toPromptOrPath({ id, traffic }: LogicalRequest): string {
  return traffic.service === undefined ? `${traffic.class} request ${id}` : `/call/${id}`
}

function toCallerRequest(request: LogicalRequest, address: string): CallerRequest {
  const { traffic } = request
  const promptOrPath = toPromptOrPath(request)
  const [, className = ''] = traffic.class.split('/')
  const common = {
    address,
    headers: requestHeaders(request, className),
    isService: traffic.service !== undefined,
    leaveAfterMs: traffic.leaveAfter,
    readPauseMs: traffic.readPause,
  }
  if (traffic.service !== undefined) {
    const isWhole = (text: string): boolean => text.includes(JSON.stringify(promptOrPath))
    const path = `/v1/services/${traffic.service}${promptOrPath}`
    return { ...common, path, body: '{}', stream: false, isWhole }
  }
  const messages = [{ role: 'user', content: promptOrPath }]
  return {
    ...common,
    path: '/v1/chat/completions',
    body: JSON.stringify({ model: className, messages, stream: traffic.stream }),
    stream: traffic.stream,
    isWhole: (text) =>
      traffic.stream
        ? isCompleteOutput(promptOrPath, text)
        : isCompleteChatResponse(promptOrPath, text),
  }
}

function requestHeaders(
  request: LogicalRequest,
  className: string,
): Record<string, string> {
  const { traffic, session, token } = request
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
      'idempotency-key': `key-${request.id}`,
    }),
  }
}

/** The request as a trace entry, without its time. */
function toTraceEntry({ traffic, session }: LogicalRequest): Omit<TraceEntry, 'atMs'> {
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
