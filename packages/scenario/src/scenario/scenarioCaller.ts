/** HTTP client of a scenario; it can disconnect early or read slowly. */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { createParser } from 'eventsource-parser'
import { isCompleteOutput } from '@wagtailway/standins'
import type { RequestEnd } from '../check/evidence.js'

export interface CallerRequest {
  /** `host:port` of a router. */
  readonly address: string
  readonly path: string
  readonly body: string
  readonly headers: Readonly<Record<string, string>>
  readonly stream: boolean
  /** Whether the request calls a plain service, whose own error responses are relayed. */
  readonly isService: boolean
  /** Whether a response text is the complete answer to this request. */
  readonly isWhole: (text: string) => boolean
  /** Time after which the caller disconnects, in milliseconds. */
  readonly leaveAfterMs?: number | undefined
  /** Pause between reads of the response body, in milliseconds. */
  readonly readPauseMs?: number | undefined
}

export interface CallerResult {
  readonly end: RequestEnd
  readonly status: number
  readonly requestId: string
  readonly versionKey: string
  readonly sessionToken: string
  readonly reason: string
  readonly ran: string
  readonly retryAfterMs: number | undefined
}

/**
 * Timeout for the complete response, after which the request counts as `hung`, in
 * milliseconds.
 */
const RESPONSE_TIMEOUT_MS = 45_000

const HTTP_OK = 200

const NO_RESPONSE: CallerResult = {
  end: 'broken',
  status: 0,
  requestId: '',
  versionKey: '',
  sessionToken: '',
  reason: '',
  ran: '',
  retryAfterMs: undefined,
}

/**
 * Sends requests over keep-alive connections.
 *
 * @example
 * const caller = ScenarioCaller.create()
 * const { end } = await caller.send(req)
 */
export class ScenarioCaller {
  readonly #agent = new Agent({ keepAlive: true })

  static create(): ScenarioCaller {
    return new ScenarioCaller()
  }

  /** Sends one request; never rejects. */
  send(call: CallerRequest): Promise<CallerResult> {
    return new Promise((resolve) => {
      let isConnected = false
      let abandonedEnd: RequestEnd | undefined
      const req = this.#open(call)
      const abandon = (cause: RequestEnd): void => {
        abandonedEnd = cause
        req.destroy()
        resolve({ ...NO_RESPONSE, end: cause })
      }
      const timers = [setTimeout(abandon, RESPONSE_TIMEOUT_MS, 'hung')]
      if (call.leaveAfterMs !== undefined) {
        timers.push(setTimeout(abandon, call.leaveAfterMs, 'left'))
      }
      req.on('socket', (socket) => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => (isConnected = true))
      })
      req.on('error', () => {
        for (const timer of timers) clearTimeout(timer)
        resolve({
          ...NO_RESPONSE,
          end: abandonedEnd ?? (isConnected ? 'broken' : 'unreached'),
        })
      })
      req.on('response', (res) => {
        void readResult(call, res).then((result) => {
          for (const timer of timers) clearTimeout(timer)
          resolve(abandonedEnd === undefined ? result : { ...result, end: abandonedEnd })
        })
      })
      req.end(call.body)
    })
  }

  close(): void {
    this.#agent.destroy()
  }

  #open(call: CallerRequest): ClientRequest {
    const [host, port] = call.address.split(':')
    return request({
      host,
      port: Number(port),
      method: 'POST',
      path: call.path,
      agent: this.#agent,
      headers: {
        ...call.headers,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(call.body),
      },
    })
  }
}

interface ReceivedBody {
  text: string
  isEnded: boolean
}

async function readResult(
  call: CallerRequest,
  res: IncomingMessage,
): Promise<CallerResult> {
  const header = (name: string): string => String(res.headers[name] ?? '')
  const responseFields = {
    ...NO_RESPONSE,
    status: res.statusCode ?? 0,
    requestId: header('x-request-id'),
    versionKey: header('wagtailway-version'),
    sessionToken: header('wagtailway-session-token'),
  }
  const isStream = call.stream && responseFields.status === HTTP_OK
  const received = await readBody(res, isStream, call.readPauseMs ?? 0)
  if (!received.isEnded) return { ...responseFields, end: 'broken' }
  if (responseFields.status !== HTTP_OK) {
    const refusal = parseRefusal(received.text)
    const isServiceError = call.isService && refusal.reason === ''
    return { ...responseFields, ...refusal, end: isServiceError ? 'failed' : 'refused' }
  }
  return { ...responseFields, end: call.isWhole(received.text) ? 'whole' : 'wrong' }
}

async function readBody(
  res: IncomingMessage,
  isStream: boolean,
  readPauseMs: number,
): Promise<ReceivedBody> {
  const received: ReceivedBody = { text: '', isEnded: false }
  const parser = createParser({
    onEvent: ({ data }) => {
      applyEvent(received, data)
    },
  })
  res.setEncoding('utf8')
  try {
    for await (const part of res) {
      if (isStream) parser.feed(part as string)
      else received.text += part as string
      if (readPauseMs > 0) await delay(readPauseMs)
    }
  } catch {
    return { ...received, isEnded: false }
  }
  return isStream ? received : { ...received, isEnded: res.complete }
}

function applyEvent(received: ReceivedBody, data: string): void {
  if (data === '[DONE]') {
    received.isEnded = true
    return
  }
  const chunk = JSON.parse(data) as { choices: { delta?: { content?: string } }[] }
  received.text += chunk.choices[0]?.delta?.content ?? ''
}

function parseRefusal(
  text: string,
): Pick<CallerResult, 'reason' | 'ran' | 'retryAfterMs'> {
  const error = parseError(text)
  return {
    reason: error.type ?? '',
    ran: error.ran ?? '',
    retryAfterMs: error.retry_after_ms,
  }
}

interface ErrorBody {
  readonly type?: string
  readonly ran?: string
  readonly retry_after_ms?: number
}

function parseError(text: string): ErrorBody {
  try {
    return (JSON.parse(text) as { error?: ErrorBody }).error ?? {}
  } catch {
    return {}
  }
}

/** Whether a response that isn't streamed contains the complete answer to a prompt. */
export function isCompleteChatResponse(prompt: string, text: string): boolean {
  try {
    const completion = JSON.parse(text) as {
      choices?: { message: { content: string } }[]
    }
    return isCompleteOutput(prompt, completion.choices?.[0]?.message.content ?? '')
  } catch {
    return false
  }
}
