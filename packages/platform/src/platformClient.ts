/** Client of the platform's versioned object API and of its list of instances. */
import { Agent } from 'node:http'
import {
  Err,
  Ok,
  type CallBudget,
  type CallKind,
  type CallVerdict,
  type Conflict,
  type ObjectKind,
  type ObjectList,
  type ObjectStore,
  type Result,
  type StoredObject,
  type Unavailable,
} from '@wagtailway/core'
import {
  conflictSchema,
  instanceListSchema,
  objectListSchema,
  objectSchema,
  type Instance,
} from './messages.js'
import { requestJson, type JsonResponse } from './requestJson.js'

export interface PlatformClientOptions {
  /** Base URL such as `http://127.0.0.1:7000`. */
  readonly url: string
  /**
   * Deadline of a call, in milliseconds; a watch gets its waiting time on top.
   * @default 2_000
   */
  readonly timeoutMs?: number
  /** Bounds the calls of each kind; without one they are only counted. */
  readonly budget?: CallBudget
  /** Called once for each call that is sent, for counting. */
  readonly onCall?: (kind: CallKind) => void
  /** Called once for each call that the budget held back. */
  readonly onHeldBack?: (kind: CallKind, verdict: CallVerdict) => void
  /** Called once for each call that the platform did not answer. */
  readonly onFailure?: (kind: CallKind) => void
}

interface PlatformCall {
  readonly body?: unknown
  /** Time that the platform may wait before it answers, in milliseconds. */
  readonly waitMs?: number
  /** An earlier response whose body is used again if the text is the same. */
  readonly previous?: JsonResponse | undefined
}

type CallResult = Result<JsonResponse, Unavailable>

/**
 * Object store over HTTP.
 *
 * @example
 * const client = PlatformClient.create({ url: 'http://127.0.0.1:7000' })
 * const config = await client.get('config', 'current')
 * client.close()
 */
export class PlatformClient implements ObjectStore {
  readonly #agent = new Agent({ keepAlive: true })
  readonly #timeoutMs: number
  /** The newest list and the answer that it came in. */
  #listed: { res: JsonResponse; instances: readonly Instance[] } | undefined

  private constructor(private readonly opts: PlatformClientOptions) {
    this.#timeoutMs = opts.timeoutMs ?? 2_000
  }

  static create(opts: PlatformClientOptions): PlatformClient {
    return new PlatformClient(opts)
  }

  async get(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject | undefined, Unavailable>> {
    const called = await this.#call('get', 'GET', objectPath(kind, name))
    if (called.err) return called
    if (called.val.status === 404) return Ok(undefined)
    return Ok(objectSchema.parse(called.val.body))
  }

  async list(kind: ObjectKind, prefix: string): Promise<Result<ObjectList, Unavailable>> {
    const path = `/v1/objects/${kind}?prefix=${encodeURIComponent(prefix)}`
    const called = await this.#call('list', 'GET', path)
    return called.err ? called : Ok(objectListSchema.parse(called.val.body))
  }

  async put(
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Result<StoredObject, Conflict | Unavailable>> {
    const path = `${objectPath(kind, name)}?ifRevision=${ifRevision}`
    const called = await this.#call('put', 'PUT', path, { body: value })
    if (called.err) return called
    if (called.val.status === 409) {
      const { revision } = conflictSchema.parse(called.val.body)
      return Err({ type: 'conflict', revision })
    }
    return Ok(objectSchema.parse(called.val.body))
  }

  async watch(
    kind: ObjectKind,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<ObjectList, Unavailable>> {
    const path = `/v1/watch/${kind}?afterRevision=${afterRevision}&waitMs=${waitMs}`
    const called = await this.#call('watch', 'GET', path, { waitMs })
    return called.err ? called : Ok(objectListSchema.parse(called.val.body))
  }

  /**
   * The platform's list of live and leaving instances, which lags behind; the same
   * array as before if nothing has changed.
   */
  async instances(): Promise<Result<readonly Instance[], Unavailable>> {
    const previous = this.#listed?.res
    const called = await this.#call('instances', 'GET', '/v1/instances', { previous })
    if (called.err) return called
    const res = called.val
    if (this.#listed && res.body === previous?.body) return Ok(this.#listed.instances)
    this.#listed = { res, instances: instanceListSchema.parse(res.body).instances }
    return Ok(this.#listed.instances)
  }

  close(): void {
    this.#agent.destroy()
  }

  async #call(
    kind: CallKind,
    method: 'GET' | 'PUT',
    path: string,
    call: PlatformCall = {},
  ): Promise<CallResult> {
    const verdict = this.opts.budget?.admit(kind) ?? 'admitted'
    if (verdict !== 'admitted') {
      this.opts.onHeldBack?.(kind, verdict)
      return unavailable(HELD_BACK[verdict])
    }
    this.opts.onCall?.(kind)
    const called = await this.#send(method, path, call)
    this.opts.budget?.ended(kind, called.ok)
    if (called.err) this.opts.onFailure?.(kind)
    return called
  }

  async #send(
    method: 'GET' | 'PUT',
    path: string,
    { body, waitMs = 0, previous }: PlatformCall,
  ): Promise<CallResult> {
    try {
      const res = await requestJson({
        method,
        url: `${this.opts.url}${path}`,
        timeoutMs: this.#timeoutMs + waitMs,
        agent: this.#agent,
        previous,
        ...(body === undefined ? {} : { body }),
      })
      if (res.status >= 500) return unavailable(`The platform answered ${res.status}.`)
      return Ok(res)
    } catch (err) {
      return unavailable(err instanceof Error ? err.message : String(err))
    }
  }
}

const HELD_BACK = {
  over_budget: "This instance's share of the platform's calls is used up.",
  backing_off: 'The platform failed lately; this instance waits before it calls again.',
} as const

function unavailable(message: string): CallResult {
  return Err({ type: 'unavailable', message })
}

function objectPath(kind: ObjectKind, name: string): string {
  return `/v1/objects/${kind}/${encodeURIComponent(name)}`
}
