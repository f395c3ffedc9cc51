/**
 * A model engine in virtual time, with continuous batching, chunked prefill and a prefix
 * cache that is evicted when KV cache memory runs out.
 */
import type { VirtualTime } from '../loadModel/virtualTime.js'

/** Speed and size of an engine, as in the users' data sheets. */
export interface EngineSpec {
  /** Maximum number of requests in the batch. */
  readonly slots: number
  /** Capacity for the tokens of running requests and of cached prefixes together. */
  readonly kvCacheTokens: number
  /** Time of a step without prefill, in milliseconds. */
  readonly stepMs: number
  /**
   * Prompt tokens prefilled per millisecond by a model with prefill factor 1, not counting
   * attention time.
   */
  readonly prefillTokensPerMs: number
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly chunkTokens: number
  /**
   * Attention time per million pairs of a prompt token and a token before it, for prefill
   * factor 1, in milliseconds.
   */
  readonly attentionMs: number
}

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

export interface EngineJob {
  readonly model: string
  /** Prefill time relative to a model with factor 1; decoding takes the same time for all. */
  readonly prefillFactor: number
  /** Parts of the prompt in order; all but the last may be shared. */
  readonly parts: readonly PromptPart[]
  readonly outputTokens: number
  /** Lower values are more urgent: 0 is admitted and prefilled first. */
  readonly urgency: number
  readonly onFirstToken: () => void
  readonly onDone: () => void
}

/** Handle of a submitted job. */
export interface JobHandle {
  cancel(): void
}

/** State of a submitted job. */
interface Run {
  readonly job: EngineJob
  readonly promptTokens: number
  /** Prompt tokens in the KV cache; `undefined` until the job is admitted to the batch. */
  cachedPromptTokens: number | undefined
  emittedTokens: number
  isFinished: boolean
}

/**
 * A simulated engine.
 *
 * @example
 * const engine = EngineModel.create(time, spec)
 * engine.submit({ model: 'l', prefillFactor: 3, parts, outputTokens: 100, urgency: 1, onFirstToken, onDone })
 */
export class EngineModel {
  readonly #waiting: Run[] = []
  readonly #batch: Run[] = []
  /** Tokens of the cached prompt parts, the least recently used first. */
  readonly #prefixCache = new Map<string, number>()
  #prefixCacheTokens = 0
  #isStepping = false
  /** Prompt tokens prefilled so far. */
  prefilledTokens = 0
  /** Prompt tokens found in the prefix cache so far. */
  cacheHitTokens = 0
  /** Time spent on prefill so far, in milliseconds. */
  prefillMs = 0

  private constructor(
    private readonly time: VirtualTime,
    private readonly spec: EngineSpec,
    private readonly slowdownAt: (atMs: number) => number,
  ) {}

  /** @param slowdownAt Factor of the time of a step that begins then. */
  static create(
    time: VirtualTime,
    spec: EngineSpec,
    slowdownAt: (atMs: number) => number = () => 1,
  ): EngineModel {
    return new EngineModel(time, spec, slowdownAt)
  }

  submit(job: EngineJob): JobHandle {
    const promptTokens = job.parts.reduce((sum, { tokens }) => sum + tokens, 0)
    const run: Run = {
      job,
      promptTokens,
      cachedPromptTokens: undefined,
      emittedTokens: 0,
      isFinished: false,
    }
    const insertAt = this.#waiting.findIndex((other) => other.job.urgency > job.urgency)
    this.#waiting.splice(insertAt < 0 ? this.#waiting.length : insertAt, 0, run)
    if (!this.#isStepping) this.#step()
    return {
      cancel: () => {
        run.isFinished = true
      },
    }
  }

  #step(): void {
    this.#removeFinished(this.#waiting)
    this.#removeFinished(this.#batch)
    this.#admit()
    if (this.#batch.length === 0) {
      this.#isStepping = false
      return
    }
    this.#isStepping = true
    const prefillMs = this.#prefillChunk()
    this.prefillMs += prefillMs
    const stepMs = this.spec.stepMs + prefillMs
    this.time.after(stepMs * this.slowdownAt(this.time.now()), () => {
      this.#decode()
      this.#step()
    })
  }

  #removeFinished(runs: Run[]): void {
    for (let i = runs.length - 1; i >= 0; i -= 1)
      if (runs[i]?.isFinished) runs.splice(i, 1)
  }

  /** Moves waiting jobs into the batch while it has slots and KV cache memory. */
  #admit(): void {
    for (;;) {
      const run = this.#waiting[0]
      if (!run || this.#batch.length >= this.spec.slots) return
      const needed = run.promptTokens + run.job.outputTokens
      const inUse = this.#batch.reduce(
        (sum, { promptTokens, job }) => sum + promptTokens + job.outputTokens,
        0,
      )
      if (this.#batch.length > 0 && inUse + needed > this.spec.kvCacheTokens) return
      this.#waiting.shift()
      run.cachedPromptTokens = this.#findCached(run.job)
      this.cacheHitTokens += run.cachedPromptTokens
      this.#batch.push(run)
      this.#evictCache(inUse + needed)
    }
  }

  /** Tokens of the leading shared parts that are cached; marks these parts as used. */
  #findCached({ model, parts }: EngineJob): number {
    let hitTokens = 0
    for (const part of parts.slice(0, -1)) {
      const key = `${model} ${part.id}`
      const tokens = this.#prefixCache.get(key)
      if (tokens === undefined) break
      this.#prefixCache.delete(key)
      this.#prefixCache.set(key, tokens)
      hitTokens += tokens
    }
    return hitTokens
  }

  /** Evicts cached parts until they fit beside the tokens in use. */
  #evictCache(inUse: number): void {
    for (const [key, tokens] of this.#prefixCache) {
      if (inUse + this.#prefixCacheTokens <= this.spec.kvCacheTokens) return
      this.#prefixCache.delete(key)
      this.#prefixCacheTokens -= tokens
    }
  }

  /** Prefills one chunk, the most urgent prompts first; returns the time in milliseconds. */
  #prefillChunk(): number {
    const prefilling = this.#batch
      .filter((run) => (run.cachedPromptTokens ?? 0) < run.promptTokens)
      .toSorted((a, b) => a.job.urgency - b.job.urgency)
    let remainingTokens = this.spec.chunkTokens
    let chunkMs = 0
    for (const run of prefilling) {
      const tokensBefore = run.cachedPromptTokens ?? 0
      const tokens = Math.min(remainingTokens, run.promptTokens - tokensBefore)
      if (tokens <= 0) break
      const millionPairs = (tokens * (tokensBefore + tokens / 2)) / 1e6
      chunkMs +=
        (tokens / this.spec.prefillTokensPerMs + millionPairs * this.spec.attentionMs) *
        run.job.prefillFactor
      run.cachedPromptTokens = tokensBefore + tokens
      remainingTokens -= tokens
      this.prefilledTokens += tokens
      if (run.cachedPromptTokens >= run.promptTokens) this.#cacheParts(run.job)
    }
    return chunkMs
  }

  /** Adds the shared parts of a prompt to the prefix cache or marks them as used. */
  #cacheParts({ model, parts }: EngineJob): void {
    for (const part of parts.slice(0, -1)) {
      const key = `${model} ${part.id}`
      if (!this.#prefixCache.has(key)) this.#prefixCacheTokens += part.tokens
      this.#prefixCache.delete(key)
      this.#prefixCache.set(key, part.tokens)
    }
  }

  /** Generates one token for each job whose prompt is prefilled. */
  #decode(): void {
    for (const run of this.#batch) {
      if (run.isFinished || (run.cachedPromptTokens ?? 0) < run.promptTokens) continue
      run.emittedTokens += 1
      if (run.emittedTokens === 1) run.job.onFirstToken()
      if (run.emittedTokens < run.job.outputTokens) continue
      run.isFinished = true
      run.job.onDone()
    }
  }
}
