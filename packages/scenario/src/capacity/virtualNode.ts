/** One entry instance of a fleet in virtual time: the real exchanging part, driven by events. */
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

/** Pause between two ticks of the exchanges, in milliseconds. */
const TICK_MS = 500

/** Pause between two decisions whether to ask the platform, in milliseconds. */
const LOOK_PAUSE_MS = 100

/** Wait of one watch, in milliseconds. */
const WATCH_WAIT_MS = 1_000

/** Steps in which a waiting watch notices a change, in milliseconds. */
const WATCH_STEP_MS = 100

/** Pause between two polls of the list, in milliseconds. */
const LIST_PAUSE_MS = 1_000

const FRESH_MS = 10_000

/** Carries calls between nodes, or loses them. */
export interface VirtualNetwork {
  /** Calls a peer; exactly one of the two callbacks runs. */
  readonly call: (
    from: VirtualNode,
    address: string,
    serve: (peer: VirtualNode) => Uint8Array,
    answered: (bytes: Uint8Array, transitMs: number) => void,
    failed: () => void,
  ) => void
  /** Runs an event of a node, after its thaw if it is frozen, and never after its end. */
  readonly run: (node: VirtualNode, afterMs: number, step: () => void) => void
  /** Whether the platform answers this node now. */
  readonly reachesPlatform: (node: VirtualNode) => boolean
  /** Time that a call to the platform takes, in milliseconds. */
  readonly platformMs: () => number
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
 * A node, its exchanges encoded and decoded as on the wire.
 *
 * @example
 * const node = VirtualNode.create(opts)
 * node.start()
 */
export class VirtualNode {
  readonly exchange: ExchangeNode<Instance>
  /** Encoded bytes sent so far. */
  sentBytes = 0
  /** Messages sent so far. */
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

  /** Whether the node takes new requests with an older revision than `revision`. */
  servesOlderThan(revision: number): boolean {
    const { config } = this.exchange
    return this.isRunning && config.isFresh && config.revision < revision
  }

  get isRunning(): boolean {
    return !this.isKilled && this.#clock() >= this.frozenUntilMs
  }

  start(): void {
    const { network } = this.opts
    network.run(this, this.#random() * TICK_MS, () => {
      this.#tick()
    })
    network.run(this, this.#random() * LOOK_PAUSE_MS, () => {
      this.#look()
    })
    network.run(this, this.#random() * LOOK_PAUSE_MS, () => {
      this.#pollList()
    })
  }

  #tick(): void {
    const { exchanges } = this.exchange.tick()
    for (const target of exchanges) this.#exchangeWith(target)
    this.opts.network.run(this, TICK_MS, () => {
      this.#tick()
    })
  }

  #exchangeWith(target: ExchangeTarget): void {
    const request = this.#count(encodeRequest(this.exchange.request(target)))
    this.opts.network.call(
      this,
      target.address,
      (peer) => peer.#serveExchange(request),
      (bytes, transitMs) => {
        const response = fromBinary(ExchangeResponseSchema, bytes)
        this.exchange.answered(target, response, transitMs)
        this.#fetch()
      },
      () => {
        this.exchange.unanswered(target)
        this.#fetch()
      },
    )
  }

  #fetch(): void {
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
    ask: (peer: VirtualNode) => DeltaResponse,
    take: (res: DeltaResponse, transitMs: number) => void,
  ): void {
    this.opts.network.call(
      this,
      address,
      (peer) => peer.#count(encodeDelta(ask(peer))),
      (bytes, transitMs) => {
        const { revision, ageMs, delta } = fromBinary(DeltaResponseSchema, bytes)
        if (delta) take({ revision, ageMs, delta }, transitMs)
      },
      () => undefined,
    )
  }

  #look(): void {
    const { network, platform, events } = this.opts
    const again = (): void => {
      network.run(this, LOOK_PAUSE_MS, () => {
        this.#look()
      })
    }
    if (!this.exchange.isConfigPollDue) {
      again()
      return
    }
    platform.calls.watch += 1
    const sentAtMs = events.now()
    const { revision } = this.exchange.config
    const waits = revision > 0 && this.exchange.isWatcher
    this.#await(waits ? WATCH_WAIT_MS : 0, revision, (found) => {
      if (found === 'failed') this.exchange.recordConfigPollFailure()
      else this.exchange.applyConfigPoll(found, events.now() - sentAtMs, revision)
      again()
    })
  }

  /** Waits for a newer revision at the platform, looking again a few times a second. */
  #await(
    waitMs: number,
    revision: number,
    done: (found: VirtualPlatform['config'] | 'failed') => void,
  ): void {
    const { network, platform } = this.opts
    network.run(this, network.platformMs(), () => {
      if (!network.reachesPlatform(this)) done('failed')
      else if (platform.revision > revision) done(platform.config)
      else if (waitMs <= 0) done(undefined)
      else {
        network.run(this, WATCH_STEP_MS, () => {
          this.#await(waitMs - WATCH_STEP_MS, revision, done)
        })
      }
    })
  }

  #pollList(): void {
    const { network, platform, events } = this.opts
    const sentAtMs = events.now()
    if (this.exchange.isListPollDue) {
      platform.calls.instances += 1
      network.run(this, network.platformMs(), () => {
        if (!network.reachesPlatform(this)) this.exchange.recordListPollFailure()
        else this.exchange.applyListPoll(platform.instances, events.now() - sentAtMs)
      })
    }
    network.run(this, LIST_PAUSE_MS, () => {
      this.#pollList()
    })
  }

  #serveExchange(bytes: Uint8Array): Uint8Array {
    const request = fromBinary(ExchangeRequestSchema, bytes)
    if (!request.from) return new Uint8Array()
    return this.#count(
      encodeResponse(this.exchange.handleRequest({ ...request, from: request.from })),
    )
  }

  #count(bytes: Uint8Array): Uint8Array {
    this.sentBytes += bytes.byteLength
    this.sentMessages += 1
    return bytes
  }
}
