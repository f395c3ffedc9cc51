/** Sends and answers exchange requests between entry instances. */
import {
  create,
  toBinary,
  type DescMessage,
  type MessageInitShape,
} from '@bufbuild/protobuf'
import {
  Ticker,
  type Clock,
  type DeltaResponse,
  type ExchangeNode,
  type ExchangeRequest,
  type ExchangeResponse,
  type ExchangeTarget,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import {
  DeltaResponseSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  type DeltaResponse as DeltaMessage,
  type ExchangeRequest as RequestMessage,
} from '@wagtailway/protocol'
import type { PeerClients } from './peerClients.js'

/** Maximum wait for the response to an exchange request, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 700

/** Maximum wait for changes fetched from a peer, in milliseconds. */
const FETCH_TIMEOUT_MS = 2_000

/** Number of members that an instance notifies directly when it shuts down. */
const SHUTDOWN_EXCHANGES = 3

export interface ExchangesOptions {
  readonly node: ExchangeNode<Instance>
  readonly clients: PeerClients
  /** Monotonic clock. */
  readonly clock: Clock
  readonly intervalMs: number
  /** Called after each tick and whenever the configuration or the instance list may have changed. */
  readonly onChange: () => void
  /** Called with the encoded size of each message sent, in bytes. */
  readonly onBytes: (bytes: number) => void
  readonly onError: (err: unknown) => void
}

/**
 * Runs the exchange node of one entry instance over connect-es.
 *
 * @example
 * const exchanges = Exchanges.create(opts)
 * await exchanges.announceShutdown()
 */
export class Exchanges {
  readonly #ticker: Ticker

  private constructor(private readonly opts: ExchangesOptions) {
    this.#ticker = Ticker.create({
      intervalMs: opts.intervalMs,
      step: () => {
        this.#tick()
        return Promise.resolve()
      },
      onError: opts.onError,
    })
  }

  static create(opts: ExchangesOptions): Exchanges {
    return new Exchanges(opts)
  }

  /** Answers an exchange request of another instance. */
  exchange(request: RequestMessage): MessageInitShape<typeof ExchangeResponseSchema> {
    if (!request.from) return {}
    return this.#countBytes(
      ExchangeResponseSchema,
      responseMessage(this.opts.node.handleRequest({ ...request, from: request.from })),
    )
  }

  /** Returns the configuration changes since a peer's revision. */
  configDelta(afterRevision: number): MessageInitShape<typeof DeltaResponseSchema> {
    const changes = deltaMessage(this.opts.node.configDelta(afterRevision))
    return this.#countBytes(DeltaResponseSchema, changes)
  }

  /** Returns the changes of the instance list since the version whose hash a peer sent. */
  instanceDelta(afterHash: number): MessageInitShape<typeof DeltaResponseSchema> {
    const changes = deltaMessage(this.opts.node.instanceDelta(afterHash))
    return this.#countBytes(DeltaResponseSchema, changes)
  }

  /** Notifies some alive members that this instance is shutting down; they gossip it to the rest. */
  async announceShutdown(): Promise<void> {
    const { members } = this.opts.node
    members.announceShutdown()
    const targets = members.alive().slice(0, SHUTDOWN_EXCHANGES)
    await Promise.all(targets.map((target) => this.#exchangeWith(target)))
  }

  async close(): Promise<void> {
    await this.#ticker.close()
  }

  #tick(): void {
    const { exchanges } = this.opts.node.tick()
    // Not awaited: one unresponsive peer must not delay the next tick.
    for (const target of exchanges) {
      this.#exchangeWith(target).catch(this.opts.onError)
    }
    this.opts.onChange()
  }

  async #exchangeWith(target: ExchangeTarget): Promise<void> {
    const { node, clients, clock } = this.opts
    const request = this.#countBytes(
      ExchangeRequestSchema,
      requestMessage(node.request(target)),
    )
    const sentAtMs = clock()
    try {
      const client = clients.forAddress(target.address)
      const response = await client.exchange(request, { timeoutMs: EXCHANGE_TIMEOUT_MS })
      node.handleResponse(target, response, clock() - sentAtMs)
    } catch {
      node.recordNoResponse(target)
    }
    await this.#fetchUpdates()
  }

  async #fetchUpdates(): Promise<void> {
    const { node, onChange } = this.opts
    const { fetchConfig, fetchInstances } = node.takeDueFetches()
    if (fetchConfig !== undefined) await this.#fetchConfig(fetchConfig)
    if (fetchInstances !== undefined) await this.#fetchInstances(fetchInstances)
    if (fetchConfig ?? fetchInstances) onChange()
  }

  async #fetchConfig(address: string): Promise<void> {
    const { node, clients, clock } = this.opts
    const request = { afterRevision: node.config.revision }
    const sentAtMs = clock()
    const fetched = await undefinedOnError(
      clients.forAddress(address).fetchConfig(request, { timeoutMs: FETCH_TIMEOUT_MS }),
    )
    const response = fetched && toDelta(fetched)
    if (response) node.receiveConfig(response, clock() - sentAtMs)
  }

  async #fetchInstances(address: string): Promise<void> {
    const { node, clients, clock } = this.opts
    const request = { afterHash: node.instances.hash }
    const sentAtMs = clock()
    const fetched = await undefinedOnError(
      clients
        .forAddress(address)
        .fetchInstances(request, { timeoutMs: FETCH_TIMEOUT_MS }),
    )
    const response = fetched && toDelta(fetched)
    if (response) node.receiveInstances(response, clock() - sentAtMs)
  }

  #countBytes<T extends DescMessage>(
    schema: T,
    init: MessageInitShape<T>,
  ): MessageInitShape<T> {
    this.opts.onBytes(toBinary(schema, create(schema, init)).byteLength)
    return init
  }
}

/** Resolves to `undefined` if the fetch fails; a later exchange triggers it again. */
async function undefinedOnError<T>(promise: Promise<T>): Promise<T | undefined> {
  try {
    return await promise
  } catch {
    return undefined
  }
}

function toDelta({ revision, ageMs, delta }: DeltaMessage): DeltaResponse | undefined {
  return delta && { revision, ageMs, delta }
}

function requestMessage(
  request: ExchangeRequest,
): MessageInitShape<typeof ExchangeRequestSchema> {
  return {
    ...request,
    updates: [...request.updates],
    bucketHashes: [...request.bucketHashes],
    values: [...request.values],
  }
}

function responseMessage(
  response: ExchangeResponse,
): MessageInitShape<typeof ExchangeResponseSchema> {
  return {
    ...response,
    updates: [...response.updates],
    bucketHashes: [...response.bucketHashes],
    values: [...response.values],
    claimAges: new Uint8Array(response.claimAges),
  }
}

function deltaMessage({
  delta,
  ...rest
}: DeltaResponse): MessageInitShape<typeof DeltaResponseSchema> {
  return {
    ...rest,
    delta: { ...delta, changed: [...delta.changed], removed: [...delta.removed] },
  }
}
