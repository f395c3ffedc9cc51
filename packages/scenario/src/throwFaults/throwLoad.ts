/** Load of all kinds of requests on gateways that throw, and what callers received. */
import { Agent, request } from 'node:http'
import { callerHeaders } from '@wagtailway/standins'
import { eventIds, type FleetResponse } from '../fleet/fleetClient.js'
import type { ThrowingGateway } from './throwingGateway.js'

/** How a caller sends and reads, by the kind of its requests. */
interface LoadKind {
  readonly name: string
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly isStream?: boolean
  /** Size of the body, in bytes. */
  readonly bodyBytes?: number
  /** Time that sending the body takes, in milliseconds. */
  readonly sendMs?: number
  /** Pause after each piece of the response that is read, in milliseconds. */
  readonly readPauseMs?: number
  /** Time after which the caller goes away, in milliseconds. */
  readonly leaveMs?: number
  /** Callers of each gateway. */
  readonly callers: number
}

/** Prefix of the paths with large responses, and their size. */
export const LARGE_PREFIX = '/plain/large-'
export const LARGE_BYTES = 2_000_000

/** Events of a stream. */
export const STREAM_EVENTS = 20

/** Part of the paths at which servers fail on purpose. */
export const FAULTY_MARK = '/faulty-'

/** Kind whose callers don't wait for their answer. */
const LEAVING = 'leaving'

/** Kind of the requests under which servers fail; nothing is promised on their answers. */
const FAULTY = 'faulty'

const UNCHECKED = [LEAVING, FAULTY]

const KINDS: readonly LoadKind[] = [
  { name: 'safe', path: '/plain/', method: 'GET', callers: 3 },
  { name: 'once', path: '/once/', method: 'POST', bodyBytes: 20, callers: 3 },
  { name: 'stream', path: '/notes/', method: 'GET', isStream: true, callers: 4 },
  { name: 'large body', path: '/once/b', method: 'POST', bodyBytes: 400_000, callers: 1 },
  {
    name: 'slow body',
    path: '/plain/s',
    method: 'POST',
    bodyBytes: 200_000,
    sendMs: 800,
    callers: 1,
  },
  {
    name: 'slow reader',
    path: LARGE_PREFIX,
    method: 'GET',
    readPauseMs: 20,
    callers: 1,
  },
  {
    name: LEAVING,
    path: '/notes/l',
    method: 'GET',
    isStream: true,
    leaveMs: 400,
    callers: 1,
  },
  {
    name: FAULTY,
    path: `/plain${FAULTY_MARK}`,
    method: 'GET',
    callers: 1,
  },
  {
    name: FAULTY,
    path: `/notes${FAULTY_MARK}`,
    method: 'GET',
    isStream: true,
    callers: 1,
  },
]

const PIECES = 10

/** Pause between two requests of a caller, in milliseconds. */
const PAUSE_MS = 30

/** Time that callers wait, in milliseconds; longer than any route. */
const TIMEOUT_MS = 10_000

/** One request and what its caller received. */
export interface LoadCall {
  readonly id: string
  readonly kind: string
  readonly path: string
  /** Name of the gateway. */
  readonly gateway: string
  /** In milliseconds of `Date.now()`. */
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly response: FleetResponse
}

export interface ThrowLoad {
  readonly calls: readonly LoadCall[]
  /** Ends the load; resolves once the last request has ended. */
  stop(): Promise<void>
}

/**
 * Sends requests of all kinds to each gateway that its balancer takes for ready.
 *
 * @example
 * const load = startLoad(gateways)
 * await load.stop()
 * load.calls.filter(({ response }) => !response.isWhole)
 */
export function startLoad(gateways: readonly ThrowingGateway[]): ThrowLoad {
  const calls: LoadCall[] = []
  const stop = { isRequested: false }
  const callers = gateways.flatMap((gateway) =>
    KINDS.flatMap((kind, k) =>
      Array.from({ length: kind.callers }, (_, i) =>
        runCaller(gateway, kind, `${kind.name.replace(' ', '-')}-${k}-${i}`, calls, stop),
      ),
    ),
  )
  return {
    calls,
    stop: async () => {
      stop.isRequested = true
      await Promise.all(callers)
    },
  }
}

/**
 * Sends one request of each kind to a gateway.
 *
 * @example
 * (await probe(gateway, 'final')).every(({ response }) => response.status === 200)
 */
export function probe(
  throwing: ThrowingGateway,
  prefix: string,
): Promise<readonly LoadCall[]> {
  return Promise.all(
    KINDS.map((kind, k) =>
      call(throwing, kind, `${prefix}-${kind.name.replace(' ', '-')}-${k}`),
    ),
  )
}

async function runCaller(
  throwing: ThrowingGateway,
  kind: LoadKind,
  caller: string,
  calls: LoadCall[],
  stop: { readonly isRequested: boolean },
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let i = 0; !stop.isRequested; i += 1) {
    if (throwing.isReady) calls.push(await call(throwing, kind, `${caller}-${i}`, agent))
    await sleep(PAUSE_MS)
  }
  agent.destroy()
}

async function call(
  { name, gateway: { opts } }: ThrowingGateway,
  kind: LoadKind,
  caller: string,
  agent?: Agent,
): Promise<LoadCall> {
  const id = `${name}-${caller}`
  const path = `${kind.path}${id}`
  const sentAtMs = Date.now()
  const response = await send(opts.host, opts.ports.callers, kind, id, path, agent)
  const endedAtMs = Date.now()
  return { id, kind: kind.name, path, gateway: name, sentAtMs, endedAtMs, response }
}

function send(
  host: string,
  port: number,
  kind: LoadKind,
  id: string,
  path: string,
  agent: Agent | undefined,
): Promise<FleetResponse> {
  const { method, isStream = false, bodyBytes = 0, sendMs = 0, readPauseMs = 0 } = kind
  const { leaveMs = TIMEOUT_MS } = kind
  const headers = {
    host: 'app.example',
    ...callerHeaders({
      requestId: id,
      isStream,
      waitMs: TIMEOUT_MS,
      ...(isStream && { promptParts: ['first', id] }),
    }),
    ...(bodyBytes > 0 && { 'content-length': String(bodyBytes) }),
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let received: FleetResponse | undefined
    const finish = (): void => {
      clearTimeout(timer)
      resolve(received ?? { status: 0, headers: {}, body: '', isWhole: false })
    }
    const req = request({ host, port, method, path, headers, ...(agent && { agent }) })
    const timer = setTimeout(() => req.destroy(), leaveMs)
    req.on('error', finish)
    req.on('response', (res) => {
      res.on('error', () => undefined)
      res.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        if (readPauseMs === 0) return
        res.pause()
        setTimeout(() => res.resume(), readPauseMs)
      })
      res.on('close', () => {
        const body = Buffer.concat(chunks).toString()
        const { statusCode: status = 0, complete: isWhole } = res
        received = { status, headers: res.headers, body, isWhole }
        finish()
      })
    })
    void sendBody(req, bodyBytes, sendMs)
  })
}

async function sendBody(
  req: ReturnType<typeof request>,
  bodyBytes: number,
  sendMs: number,
): Promise<void> {
  const pieceBytes = Math.ceil(bodyBytes / PIECES)
  for (let sent = 0; sent < bodyBytes && !req.destroyed; sent += pieceBytes) {
    req.write(Buffer.alloc(Math.min(pieceBytes, bodyBytes - sent), 'x'))
    if (sendMs > 0) await sleep(sendMs / PIECES)
  }
  if (!req.destroyed) req.end()
}

/** Returns what a caller received that is not its own whole answer, if anything. */
export function findWrong({ id, path, response }: LoadCall): string | undefined {
  const { status, headers, body, isWhole } = response
  if (status !== 200) return undefined
  const echoed = headers['x-request-id']
  if (echoed !== undefined && echoed !== id) return `answer of ${String(echoed)}`
  if (path.startsWith('/notes/')) {
    const isInOrder = eventIds(body).every((event, i) => event === i + 1)
    return isInOrder ? undefined : 'events out of order'
  }
  if (!isWhole || body.includes(` ${path} by `)) return undefined
  return body.includes(' by ')
    ? 'answer of another path'
    : `body with ${body.length} bytes instead of its own`
}

/** Whether a caller that waited got neither a whole answer nor a clear error. */
export function isLost({ kind, response: { status, isWhole, body } }: LoadCall): boolean {
  if (UNCHECKED.includes(kind)) return false
  if (status === 0 || !isWhole) return true
  return kind === 'stream' && status === 200 && eventIds(body).length < STREAM_EVENTS
}

/** Whether a caller got a clear error instead of its answer. */
export function isFailed({ kind, response: { status, isWhole } }: LoadCall): boolean {
  return !UNCHECKED.includes(kind) && isWhole && status !== 200
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
