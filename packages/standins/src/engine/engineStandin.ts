/** Stand-in of a model engine: chat completions, plain and streamed, in limited slots. */
import type { ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { z } from 'zod'
import { JsonServer, sendJson, type Route, type RouteCall } from '../http/jsonServer.js'
import { answerTokens } from './answerText.js'

export const engineOptionsSchema = z.object({
  port: z.number().int().nonnegative().default(0),
  id: z.string(),
  /** Served versions as `model@version`. */
  versions: z.array(z.string()),
  /** Time before the first token, in milliseconds. */
  firstTokenMs: z.number().nonnegative().default(5),
  /** Time between tokens, in milliseconds. */
  betweenTokensMs: z.number().nonnegative().default(1),
  /** Requests generated at the same time; more wait in a queue. */
  slots: z.number().int().positive().default(32),
  /** Tokens of an answer unless the request asks for fewer. */
  tokens: z.number().int().positive().default(16),
})

export type EngineOptions = z.infer<typeof engineOptionsSchema>

export const engineFaultsSchema = z.object({
  /** So many next requests are answered 500 after they started. */
  failNext: z.number().int().nonnegative(),
  /** So many next streams are cut in the middle. */
  truncateNext: z.number().int().nonnegative(),
  /** So many next requests are accepted and never answered. */
  silentNext: z.number().int().nonnegative(),
  /** Added before the first token, in milliseconds. */
  slowMs: z.number().nonnegative(),
})

export type EngineFaults = z.infer<typeof engineFaultsSchema>

const NO_FAULTS: EngineFaults = { failNext: 0, truncateNext: 0, silentNext: 0, slowMs: 0 }

const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
})

type ChatRequest = z.infer<typeof chatRequestSchema>

/** One request that the engine started, for checks at both ends. */
export interface StartedRequest {
  readonly requestId: string
  readonly versionKey: string
  finished: boolean
}

/**
 * Serves a stand-in engine on loopback.
 *
 * @example
 * const engine = await EngineStandin.create({ id: 'e1', versions: ['summariser@v1'] })
 */
export class EngineStandin {
  readonly #started: StartedRequest[] = []
  readonly #queue: (() => void)[] = []
  #running = 0
  #faults = NO_FAULTS
  #server: JsonServer | undefined

  private constructor(private readonly opts: EngineOptions) {}

  static async create(opts: z.input<typeof engineOptionsSchema>): Promise<EngineStandin> {
    const resolved = engineOptionsSchema.parse(opts)
    const engine = new EngineStandin(resolved)
    engine.#server = await JsonServer.create({
      port: resolved.port,
      routes: engine.#routes(),
    })
    return engine
  }

  get address(): string {
    return this.#server?.address ?? ''
  }

  get started(): readonly StartedRequest[] {
    return this.#started
  }

  setFaults(faults: Partial<EngineFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #routes(): Route[] {
    return [
      {
        method: 'POST',
        pattern: /^\/v1\/chat\/completions$/,
        handle: (call) => this.#complete(call),
      },
      {
        method: 'GET',
        pattern: /^\/v1\/load$/,
        handle: ({ res }) => {
          sendJson(res, 200, { running: this.#running, queued: this.#queue.length })
        },
      },
      {
        method: 'POST',
        pattern: /^\/admin\/faults$/,
        handle: ({ res, body }) => {
          this.setFaults(engineFaultsSchema.partial().parse(JSON.parse(body)))
          sendJson(res, 200, this.#faults)
        },
      },
      {
        method: 'GET',
        pattern: /^\/admin\/started$/,
        handle: ({ res }) => {
          sendJson(res, 200, this.#started)
        },
      },
    ]
  }

  async #complete({ req, res, body }: RouteCall): Promise<void> {
    const parsed = chatRequestSchema.safeParse(JSON.parse(body))
    if (!parsed.success || !this.opts.versions.includes(parsed.data.model)) {
      sendJson(res, 400, { error: 'this engine does not serve the requested version' })
      return
    }
    await this.#acquireSlot()
    try {
      if (res.destroyed) return
      const requestId = String(req.headers['x-request-id'] ?? '')
      const entry = { requestId, versionKey: parsed.data.model, finished: false }
      this.#started.push(entry)
      await this.#generate(parsed.data, entry, res)
    } finally {
      this.#releaseSlot()
    }
  }

  async #generate(
    chat: ChatRequest,
    entry: StartedRequest,
    res: ServerResponse,
  ): Promise<void> {
    if (this.#takeFault('silentNext')) return
    await delay(this.opts.firstTokenMs + this.#faults.slowMs)
    if (this.#takeFault('failNext')) {
      sendJson(res, 500, { error: 'the engine failed' })
      return
    }
    const prompt = chat.messages.map((m) => m.content).join('\n')
    const tokens = answerTokens(
      prompt,
      Math.min(this.opts.tokens, chat.max_tokens ?? Infinity),
    )
    const usage = { prompt_tokens: wordCount(prompt), completion_tokens: tokens.length }
    if (chat.stream) await this.#stream(chat, entry, tokens, usage, res)
    else await this.#answerPlain(chat, entry, tokens, usage, res)
  }

  async #answerPlain(
    chat: ChatRequest,
    entry: StartedRequest,
    tokens: readonly string[],
    usage: object,
    res: ServerResponse,
  ): Promise<void> {
    await delay(this.opts.betweenTokensMs * tokens.length)
    entry.finished = true
    const message = { role: 'assistant', content: tokens.join('') }
    sendJson(res, 200, {
      id: entry.requestId,
      object: 'chat.completion',
      model: chat.model,
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage,
    })
  }

  async #stream(
    chat: ChatRequest,
    entry: StartedRequest,
    tokens: readonly string[],
    usage: object,
    res: ServerResponse,
  ): Promise<void> {
    const truncate = this.#takeFault('truncateNext')
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    for (const [i, content] of tokens.entries()) {
      if (i > 0) await delay(this.opts.betweenTokensMs)
      if (res.destroyed) return
      if (truncate && i === Math.floor(tokens.length / 2)) {
        res.end()
        return
      }
      res.write(event(i, chunk(chat, entry, { delta: { content } })))
    }
    entry.finished = true
    const last = { delta: {}, finish_reason: 'stop' }
    res.write(event(tokens.length, { ...chunk(chat, entry, last), usage }))
    res.end('data: [DONE]\n\n')
  }

  #takeFault(fault: 'failNext' | 'truncateNext' | 'silentNext'): boolean {
    if (this.#faults[fault] === 0) return false
    this.#faults = { ...this.#faults, [fault]: this.#faults[fault] - 1 }
    return true
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= this.opts.slots) {
      await new Promise<void>((resolve) => this.#queue.push(resolve))
    }
    this.#running += 1
  }

  #releaseSlot(): void {
    this.#running -= 1
    this.#queue.shift()?.()
  }
}

function chunk(chat: ChatRequest, entry: StartedRequest, choice: object): object {
  return {
    id: entry.requestId,
    object: 'chat.completion.chunk',
    model: chat.model,
    choices: [{ index: 0, finish_reason: null, ...choice }],
  }
}

function event(id: number, data: object): string {
  return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`
}

function wordCount(text: string): number {
  return text.split(/\s+/).filter((word) => word !== '').length
}
