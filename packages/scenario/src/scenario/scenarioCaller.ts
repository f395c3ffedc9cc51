/** A caller that goes away, reads slowly or repeats itself as a scenario says. */
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
  /** Whether an error may be the answer of a plain service. */
  readonly isService: boolean
  /** Whether a text is the whole answer. */
  readonly isWhole: (text: string) => boolean
  /** The caller goes away after this time, in milliseconds. */
  readonly leaveAfterMs?: number | undefined
  /** Pause between reads, in milliseconds. */
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

/** Longest wait for an end, in milliseconds. */
const PATIENCE_MS = 45_000

const HTTP_OK = 200

const NO_ANSWER: CallerResult = {
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
 * Sends requests over kept connections.
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
      let end: RequestEnd | undefined
      const req = this.#open(call)
      const give = (why: RequestEnd): void => {
        end = why
        req.destroy()
        resolve({ ...NO_ANSWER, end: why })
      }
      const timers = [setTimeout(give, PATIENCE_MS, 'hung')]
      if (call.leaveAfterMs !== undefined) {
        timers.push(setTimeout(give, call.leaveAfterMs, 'left'))
      }
      req.on('socket', (socket) => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => (isConnected = true))
      })
      req.on('error', () => {
        for (const timer of timers) clearTimeout(timer)
        resolve({ ...NO_ANSWER, end: end ?? (isConnected ? 'broken' : 'unreached') })
      })
      req.on('response', (res) => {
        void readAnswer(call, res).then((result) => {
          for (const timer of timers) clearTimeout(timer)
          resolve(end === undefined ? result : { ...result, end })
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

interface Received {
  text: string
  isEnded: boolean
}

async function readAnswer(
  call: CallerRequest,
  res: IncomingMessage,
): Promise<CallerResult> {
  const header = (name: string): string => String(res.headers[name] ?? '')
  const known = {
    ...NO_ANSWER,
    status: res.statusCode ?? 0,
    requestId: header('x-request-id'),
    versionKey: header('wagtailway-version'),
    sessionToken: header('wagtailway-session-token'),
  }
  const isStream = call.stream && known.status === HTTP_OK
  const received = await receive(res, isStream, call.readPauseMs ?? 0)
  if (!received.isEnded) return { ...known, end: 'broken' }
  if (known.status !== HTTP_OK) {
    const refusal = refusalOf(received.text)
    const isAnswer = call.isService && refusal.reason === ''
    return { ...known, ...refusal, end: isAnswer ? 'failed' : 'refused' }
  }
  return { ...known, end: call.isWhole(received.text) ? 'whole' : 'wrong' }
}

async function receive(
  res: IncomingMessage,
  isStream: boolean,
  readPauseMs: number,
): Promise<Received> {
  const received: Received = { text: '', isEnded: false }
  const parser = createParser({
    onEvent: ({ data }) => {
      takeEvent(received, data)
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

function takeEvent(received: Received, data: string): void {
  if (data === '[DONE]') {
    received.isEnded = true
    return
  }
  const chunk = JSON.parse(data) as { choices: { delta?: { content?: string } }[] }
  received.text += chunk.choices[0]?.delta?.content ?? ''
}

function refusalOf(text: string): Pick<CallerResult, 'reason' | 'ran' | 'retryAfterMs'> {
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

/** Whether a plain completion holds the whole answer to a prompt. */
export function isWholeCompletion(prompt: string, text: string): boolean {
  try {
    const answer = JSON.parse(text) as { choices?: { message: { content: string } }[] }
    return isCompleteOutput(prompt, answer.choices?.[0]?.message.content ?? '')
  } catch {
    return false
  }
}
