/** A caller of the router: sends one request and checks the answer. */
import { Agent, request, type IncomingMessage } from 'node:http'
import { createParser } from 'eventsource-parser'
import { isCompleteOutput } from '@wagtailway/standins'

export interface ChatCall {
  /** `host:port` of a router. */
  readonly address: string
  readonly apiKey: string
  /** Sent as the model; a router takes it for the class. */
  readonly className: string
  readonly prompt: string
  readonly stream: boolean
  readonly headers?: Readonly<Record<string, string>>
}

export interface ChatResult {
  readonly status: number
  readonly requestId: string
  readonly versionKey: string
  readonly sessionToken: string
  /** Whether the caller holds the whole answer to its own prompt. */
  readonly whole: boolean
  /** Reason of a refusal, `transport` if there was no answer at all. */
  readonly refusal: string
  readonly ran: string
  /** Time to the first token of a streamed answer, in milliseconds. */
  readonly firstTokenMs: number
  /** When the first token, or a plain answer, came, on the monotonic clock. */
  readonly firstTokenAtMs: number
}

interface Received {
  text: string
  firstAtMs: number | undefined
  ended: boolean
  refusal: string
}

/**
 * Callers sharing one connection pool.
 *
 * @example
 * const caller = ChatCaller.create()
 * const result = await caller.send({ address, apiKey, className, prompt, stream: true })
 */
export class ChatCaller {
  readonly #agent = new Agent({ keepAlive: true })

  static create(): ChatCaller {
    return new ChatCaller()
  }

  /** Sends a request; never rejects. */
  send(call: ChatCall): Promise<ChatResult> {
    const startMs = performance.now()
    const body = JSON.stringify({
      model: call.className,
      messages: [{ role: 'user', content: call.prompt }],
      stream: call.stream,
    })
    return new Promise((resolve) => {
      const fail = (): void => {
        resolve(NO_ANSWER)
      }
      const [host, port] = call.address.split(':')
      const req = request({
        host,
        port: Number(port),
        method: 'POST',
        path: '/v1/chat/completions',
        agent: this.#agent,
        headers: {
          ...call.headers,
          authorization: `Bearer ${call.apiKey}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      })
      req.on('error', fail)
      req.on('response', (res) => {
        receive(res, call.stream).then((received) => {
          resolve(toResult(call, res, received, startMs))
        }, fail)
      })
      req.end(body)
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

const NO_ANSWER: ChatResult = {
  status: 0,
  requestId: '',
  versionKey: '',
  sessionToken: '',
  whole: false,
  refusal: 'transport',
  ran: 'unknown',
  firstTokenMs: 0,
  firstTokenAtMs: 0,
}

async function receive(res: IncomingMessage, stream: boolean): Promise<Received> {
  const received: Received = { text: '', firstAtMs: undefined, ended: false, refusal: '' }
  const parser = createParser({ onEvent: ({ data }) => takeEvent(received, data) })
  let body = ''
  res.setEncoding('utf8')
  for await (const part of res) {
    if (stream && res.statusCode === 200) parser.feed(part as string)
    else body += part as string
  }
  if (body !== '') takeBody(received, JSON.parse(body))
  return received
}

function takeEvent(received: Received, data: string): void {
  if (data === '[DONE]') {
    received.ended = true
    return
  }
  received.firstAtMs ??= performance.now()
  const chunk = JSON.parse(data) as { choices: { delta?: { content?: string } }[] }
  received.text += chunk.choices[0]?.delta?.content ?? ''
}

function takeBody(received: Received, body: unknown): void {
  const answer = body as {
    choices?: { message: { content: string } }[]
    error?: { type: string }
  }
  received.text = answer.choices?.[0]?.message.content ?? ''
  received.ended = received.text !== ''
  received.refusal = answer.error?.type ?? ''
}

function toResult(
  call: ChatCall,
  res: IncomingMessage,
  received: Received,
  startMs: number,
): ChatResult {
  const header = (name: string): string => String(res.headers[name] ?? '')
  const firstTokenAtMs = received.firstAtMs ?? performance.now()
  return {
    status: res.statusCode ?? 0,
    requestId: header('x-request-id'),
    versionKey: header('wagtailway-version'),
    sessionToken: header('wagtailway-session-token'),
    whole: received.ended && isCompleteOutput(call.prompt, received.text),
    refusal: received.refusal,
    ran: header('wagtailway-ran'),
    firstTokenMs: firstTokenAtMs - startMs,
    firstTokenAtMs,
  }
}
