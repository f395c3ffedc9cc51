/**
 * One entry instance of a simulated fleet: the real `ExchangeNode`, driven in virtual
 * time.
 */
import { fromBinary } from '@bufbuild/protobuf'
import {
  ExchangeNode,
  InstanceHolder,
  seededRandom,
  type Clock,
  type DeltaResponse,
  type ExchangeTarget,
  type MemberIdentity,
  type Random,
} from '@wagtailway/core'
import { instanceSchema, type Instance } from '@wagtailway/platform'
import {
  DeltaResponseSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from '@wagtailway/protocol'
import type { VirtualTime } from '../loadModel/virtualTime.js'
import { encodeDelta, encodeRequest, encodeResponse } from './encodeMessages.js'
import type { VirtualPlatform } from './virtualPlatform.js'

/** Interval of the exchange ticks, in milliseconds. */
const TICK_INTERVAL_MS = 500

/** Interval of the checks whether to poll the platform, in milliseconds. */
const POLL_CHECK_INTERVAL_MS = 100

/** Maximum duration of one watch request, in milliseconds. */
const WATCH_TIMEOUT_MS = 1_000

/** Interval at which an open watch request checks for a change, in milliseconds. */
const WATCH_CHECK_INTERVAL_MS = 100

/** Interval of the checks whether to poll the list of instances, in milliseconds. */
const LIST_CHECK_INTERVAL_MS = 1_000

/** Age of the last proof from which a configuration is stale, in milliseconds. */
const FRESH_MS = 10_000

/** Delivers calls between nodes, or drops them. */
export interface VirtualNetwork {
  /** Calls a peer; exactly one of the two callbacks runs, unless the caller is killed. */
  readonly call: (
    from: VirtualNode,
    address: string,
    serve: (peer: VirtualNode) => Uint8Array,
    answered: (bytes: Uint8Array, transitMs: number) => void,
    failed: () => void,
  ) => void
  /**
   * Runs a step of a node after a delay: once it thaws if it is frozen then, never if
   * it is killed.
   */
  readonly run: (node: VirtualNode, afterMs: number, step: () => void) => void
  /** Whether the platform responds to this node now. */
  readonly reachesPlatform: (node: VirtualNode) => boolean
  /** Draws the duration of a call to the platform, in milliseconds. */
  readonly platformLatencyMs: () => number
}

export interface VirtualNodeOptions {
  readonly identity: MemberIdentity
  readonly events: VirtualTime
  readonly network: VirtualNetwork
  readonly platform: VirtualPlatform
  readonly seed: number
  readonly seeds?: readonly string[]
}

/**
 * A simulated entry instance whose messages are encoded and decoded as on the wire.
 *
 * @example
 * const node = VirtualNode.create(opts)
 * node.start()
 */
export class VirtualNode {
  readonly exchange: ExchangeNode<Instance>
  /** Encoded bytes sent so far, responses included. */
  sentBytes = 0
  /** Messages sent so far, responses included. */
  sentMessages = 0
  isKilled = false
  frozenUntilMs = Number.NEGATIVE_INFINITY
  readonly #clock: Clock
  readonly #random: Random

  private constructor(private readonly opts: VirtualNodeOptions) {
    this.#clock = opts.events.now
    this.#random = seededRandom(opts.seed)
    const clock = this.#clock
    this.exchange = ExchangeNode.create({
      self: opts.identity,
      clock,
      random: this.#random,
      freshMs: FRESH_MS,
      instances: InstanceHolder.create({
        clock,
        idOf: ({ id }) => id,
        parse: (json) => instanceSchema.parse(json),
        isDraining: ({ state }) => state === 'leaving',
      }),
      entryInstancesOf: (instances) =>
        instances
          .filter(({ role }) => role === 'entry')
          .map(({ id, address }) => ({ node: id, address })),
      ...(opts.seeds && { seeds: opts.seeds }),
    })
  }

  static create(opts: VirtualNodeOptions): VirtualNode {
    return new VirtualNode(opts)
  }

  get identity(): MemberIdentity {
    return this.opts.identity
  }

  /** Whether the node accepts new requests with a configuration older than `revision`. */
  servesOlderThan(revision: number): boolean {
    const { config } = this.exchange
    return this.isRunning && config.isFresh && config.revision < revision
  }

  get isRunning(): boolean {
    return !this.isKilled && this.#clock() >= this.frozenUntilMs
  }

  start(): void {
    const { network } = this.opts
    network.run(this, this.#random() * TICK_INTERVAL_MS, () => {
      this.#tick()
    })
    network.run(this, this.#random() * POLL_CHECK_INTERVAL_MS, () => {
      this.#pollConfig()
    })
    network.run(this, this.#random() * POLL_CHECK_INTERVAL_MS, () => {
      this.#pollList()
    })
  }

  #tick(): void {
    const { exchanges } = this.exchange.tick()
    for (const target of exchanges) this.#exchangeWith(target)
    this.opts.network.run(this, TICK_INTERVAL_MS, () => {
      this.#tick()
    })
  }

  #exchangeWith(target: ExchangeTarget): void {
    const request = this.#countSent(encodeRequest(this.exchange.request(target)))
    this.opts.network.call(
      this,
      target.address,
      (peer) => peer.#serveExchange(request),
      (bytes, transitMs) => {
        const response = fromBinary(ExchangeResponseSchema, bytes)
        this.exchange.handleResponse(target, response, transitMs)
        this.#fetchOutdated()
      },
      () => {
        this.exchange.recordNoResponse(target)
        this.#fetchOutdated()
      },
    )
  }

  #fetchOutdated(): void {
    const { fetchConfig, fetchInstances } = this.exchange.takeDueFetches()
    if (fetchConfig !== undefined) {
      const { revision } = this.exchange.config
      this.#fetchDelta(
        fetchConfig,
        (peer) => peer.exchange.configDelta(revision),
        (res, transitMs) => this.exchange.receiveConfig(res, transitMs),
      )
    }
    if (fetchInstances !== undefined) {
      const { hash } = this.exchange.instances
      this.#fetchDelta(
        fetchInstances,
        (peer) => peer.exchange.instanceDelta(hash),
        (res, transitMs) => this.exchange.receiveInstances(res, transitMs),
      )
    }
  }

  #fetchDelta(
    address: string,
    createDelta: (peer: VirtualNode) => DeltaResponse,
    apply: (res: DeltaResponse, transitMs: number) => void,
  ): void {
    this.opts.network.call(
      this,
      address,
      (peer) => peer.#countSent(encodeDelta(createDelta(peer))),
      (bytes, transitMs) => {
        const { revision, ageMs, delta } = fromBinary(DeltaResponseSchema, bytes)
        if (delta) apply({ revision, ageMs, delta }, transitMs)
      },
      () => undefined,
    )
  }

  #pollConfig(): void {
    const { network, platform, events } = this.opts
    const scheduleNext = (): void => {
      network.run(this, POLL_CHECK_INTERVAL_MS, () => {
        this.#pollConfig()
      })
    }
    if (!this.exchange.isConfigPollDue) {
      scheduleNext()
      return
    }
    platform.calls.watch += 1
    const sentAtMs = events.now()
    const { revision } = this.exchange.config
    const isLongPoll = revision > 0 && this.exchange.isWatcher
    this.#watchConfig(isLongPoll ? WATCH_TIMEOUT_MS : 0, revision, (result) => {
      if (result === 'failed') this.exchange.recordConfigPollFailure()
      else this.exchange.applyConfigPoll(result, events.now() - sentAtMs, revision)
      scheduleNext()
    })
  }

  /** Waits up to `waitMs` for a revision newer than `revision` at the platform. */
  #watchConfig(
    waitMs: number,
    revision: number,
    onResult: (result: VirtualPlatform['config'] | 'failed') => void,
  ): void {
    const { network, platform } = this.opts
    network.run(this, network.platformLatencyMs(), () => {
      if (!network.reachesPlatform(this)) onResult('failed')
      else if (platform.revision > revision) onResult(platform.config)
      else if (waitMs <= 0) onResult(undefined)
      else {
        network.run(this, WATCH_CHECK_INTERVAL_MS, () => {
          this.#watchConfig(waitMs - WATCH_CHECK_INTERVAL_MS, revision, onResult)
        })
      }
    })
  }

  #pollList(): void {
    const { network, platform, events } = this.opts
    const sentAtMs = events.now()
    if (this.exchange.isListPollDue) {
      platform.calls.instances += 1
      network.run(this, network.platformLatencyMs(), () => {
        if (!network.reachesPlatform(this)) this.exchange.recordListPollFailure()
        else this.exchange.applyListPoll(platform.instances, events.now() - sentAtMs)
      })
    }
    network.run(this, LIST_CHECK_INTERVAL_MS, () => {
      this.#pollList()
    })
  }

  #serveExchange(bytes: Uint8Array): Uint8Array {
    const request = fromBinary(ExchangeRequestSchema, bytes)
    if (!request.from) return new Uint8Array()
    return this.#countSent(
      encodeResponse(this.exchange.handleRequest({ ...request, from: request.from })),
    )
  }

  #countSent(bytes: Uint8Array): Uint8Array {
    this.sentBytes += bytes.byteLength
    this.sentMessages += 1
    return bytes
  }
}
