/** HTTP client that sends chat requests to a router and checks the responses. */
import { Agent, request, type IncomingMessage } from 'node:http'
import { createParser } from 'eventsource-parser'
import { isCompleteOutput } from '@wagtailway/standins'

export interface ChatCall {
  /** `host:port` of a router. */
  readonly address: string
  readonly apiKey: string
  /** Sent as `model`, from which a router takes the class. */
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
  /** Whether the response is the complete answer to the request's own prompt. */
  readonly whole: boolean
  /** Error type of a refusal; `transport` if there was no response or it broke off. */
  readonly refusal: string
  readonly ran: string
  /** Time to first token of a streamed response, in milliseconds. */
  readonly firstTokenMs: number
  /**
   * Arrival of the first token, or of a response that isn't streamed, on the monotonic
   * clock.
   */
  readonly firstTokenAtMs: number
}

interface ReceivedBody {
  text: string
  firstTokenAtMs: number | undefined
  isEnded: boolean
  refusal: string
}

/**
 * Sends chat requests over one shared connection pool.
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
        resolve(NO_RESPONSE)
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
        readBody(res, call.stream).then((received) => {
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

const NO_RESPONSE: ChatResult = {
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

async function readBody(res: IncomingMessage, stream: boolean): Promise<ReceivedBody> {
  const received: ReceivedBody = {
    text: '',
    firstTokenAtMs: undefined,
    isEnded: false,
    refusal: '',
  }
  const parser = createParser({ onEvent: ({ data }) => applyEvent(received, data) })
  let body = ''
  res.setEncoding('utf8')
  for await (const part of res) {
    if (stream && res.statusCode === 200) parser.feed(part as string)
    else body += part as string
  }
  if (body !== '') applyBody(received, JSON.parse(body))
  return received
}

function applyEvent(received: ReceivedBody, data: string): void {
  if (data === '[DONE]') {
    received.isEnded = true
    return
  }
  received.firstTokenAtMs ??= performance.now()
  const chunk = JSON.parse(data) as { choices: { delta?: { content?: string } }[] }
  received.text += chunk.choices[0]?.delta?.content ?? ''
}

function applyBody(received: ReceivedBody, body: unknown): void {
  const chatResponse = body as {
    choices?: { message: { content: string } }[]
    error?: { type: string }
  }
  received.text = chatResponse.choices?.[0]?.message.content ?? ''
  received.isEnded = received.text !== ''
  received.refusal = chatResponse.error?.type ?? ''
}

function toResult(
  call: ChatCall,
  res: IncomingMessage,
  received: ReceivedBody,
  startMs: number,
): ChatResult {
  const header = (name: string): string => String(res.headers[name] ?? '')
  const firstTokenAtMs = received.firstTokenAtMs ?? performance.now()
  return {
    status: res.statusCode ?? 0,
    requestId: header('x-request-id'),
    versionKey: header('wagtailway-version'),
    sessionToken: header('wagtailway-session-token'),
    whole: received.isEnded && isCompleteOutput(call.prompt, received.text),
    refusal: received.refusal,
    ran: header('wagtailway-ran'),
    firstTokenMs: firstTokenAtMs - startMs,
    firstTokenAtMs,
  }
}
