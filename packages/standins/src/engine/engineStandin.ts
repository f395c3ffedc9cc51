/** Stand-in of a model engine: chat completions, plain and streamed, in limited slots. */
import type { ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { z } from 'zod'
import { JsonServer, sendJson, type Route, type RouteCall } from '../http/jsonServer.js'
import { answerTokens, promptDigest } from './completionText.js'

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
  /** So many next streams swap the chunks of each pair. */
  reorderNext: z.number().int().nonnegative(),
  /** So many next streams send each chunk twice. */
  duplicateNext: z.number().int().nonnegative(),
  /** So many next streams pause in the middle. */
  pauseNext: z.number().int().nonnegative(),
  /** Length of such a pause, in milliseconds. */
  pauseMs: z.number().nonnegative(),
  /** Added before the first token, in milliseconds. */
  slowMs: z.number().nonnegative(),
})

export type EngineFaults = z.infer<typeof engineFaultsSchema>

const NO_FAULTS: EngineFaults = {
  failNext: 0,
  truncateNext: 0,
  silentNext: 0,
  reorderNext: 0,
  duplicateNext: 0,
  pauseNext: 0,
  pauseMs: 1_000,
  slowMs: 0,
}

/** Faults that hit a number of requests and are then over. */
type CountedFault = Exclude<keyof EngineFaults, 'slowMs' | 'pauseMs'>

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
  /** Digest of the prompt, by which a caller finds its own request. */
  readonly digest: string
  readonly idempotencyKey: string
  /** When it started, in milliseconds since the epoch. */
  readonly atMs: number
  finished: boolean
}

/** Receives each request as it starts and again as it finishes. */
export type StartedSink = (entry: StartedRequest) => void

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

  private constructor(
    private readonly opts: EngineOptions,
    private readonly onStarted: StartedSink,
  ) {}

  static async create(
    opts: z.input<typeof engineOptionsSchema>,
    onStarted: StartedSink = () => undefined,
  ): Promise<EngineStandin> {
    const resolved = engineOptionsSchema.parse(opts)
    const engine = new EngineStandin(resolved, onStarted)
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
      const entry: StartedRequest = {
        requestId: String(req.headers['x-request-id'] ?? ''),
        versionKey: parsed.data.model,
        digest: promptDigest(promptOf(parsed.data)),
        idempotencyKey: String(req.headers['idempotency-key'] ?? ''),
        atMs: Date.now(),
        finished: false,
      }
      this.#started.push(entry)
      this.onStarted(entry)
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
    const prompt = promptOf(chat)
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
    this.#finish(entry)
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
    const plan = this.#planChunks(tokens.length)
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    for (const [position, i] of plan.order.entries()) {
      if (position > 0) await delay(this.opts.betweenTokensMs)
      if (position === Math.floor(plan.order.length / 2)) await delay(plan.pauseMs)
      if (res.destroyed) return
      res.write(event(i, chunk(chat, entry, { delta: { content: tokens[i] } })))
    }
    if (plan.truncated) {
      res.end()
      return
    }
    this.#finish(entry)
    const last = { delta: {}, finish_reason: 'stop' }
    res.write(event(tokens.length, { ...chunk(chat, entry, last), usage }))
    res.end('data: [DONE]\n\n')
  }

  /** Decides in which order a stream's chunks go out and where it breaks off. */
  #planChunks(count: number): ChunkPlan {
    const truncated = this.#takeFault('truncateNext')
    const all = Array.from({ length: count }, (_, i) => i)
    let order = truncated ? all.slice(0, Math.floor(count / 2)) : all
    if (this.#takeFault('reorderNext')) {
      order = order.map((i) => Math.min(i ^ 1, order.length - 1))
    }
    if (this.#takeFault('duplicateNext')) order = order.flatMap((i) => [i, i])
    const pauseMs = this.#takeFault('pauseNext') ? this.#faults.pauseMs : 0
    return { order, truncated, pauseMs }
  }

  #finish(entry: StartedRequest): void {
    entry.finished = true
    this.onStarted(entry)
  }

  #takeFault(fault: CountedFault): boolean {
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

interface ChunkPlan {
  /** Numbers of the chunks as they go out. */
  readonly order: readonly number[]
  readonly truncated: boolean
  readonly pauseMs: number
}

function promptOf(chat: ChatRequest): string {
  return chat.messages.map((m) => m.content).join('\n')
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
