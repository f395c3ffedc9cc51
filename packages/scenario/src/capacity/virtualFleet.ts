/** Many entry instances in one process and in virtual time, with faults. */
import { seededRandom, type EffectiveConfig, type Random } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import { VirtualTime } from '../loadModel/virtualTime.js'
import { VirtualNode, type VirtualNetwork } from './virtualNode.js'
import { VirtualPlatform } from './virtualPlatform.js'

/** Longest wait for an answer, in milliseconds. */
const CALL_TIMEOUT_MS = 700

/** One way within a zone and between two, in milliseconds. */
const NEAR_MS = 0.3
const FAR_MS = 1.5

/** Time that a node takes at most to serve a call, in milliseconds. */
const SERVE_MS = 2

/** A call to the platform, in milliseconds. */
const PLATFORM_MS = 5

const ZONES = ['r1-z1', 'r1-z2', 'r1-z3', 'r2-z1', 'r2-z2', 'r2-z3']

export interface VirtualFleetOptions {
  readonly nodes: number
  readonly seed: number
  readonly config: EffectiveConfig
  /**
   * Backend servers on the platform's list.
   * @default 0
   */
  readonly replicas?: number
}

/**
 * A fleet that faults can be done to.
 *
 * @example
 * const fleet = VirtualFleet.create({ nodes: 64, seed: 1, config })
 * fleet.events.runUntil(20_000)
 */
export class VirtualFleet {
  readonly events = VirtualTime.create()
  readonly platform = VirtualPlatform.create(this.events.now)
  readonly random: Random
  readonly nodes: VirtualNode[] = []
  /** Fraction of messages that are lost, each way. */
  loss = 0
  /** Nodes that reach no other node. */
  readonly cutFromPeers = new Set<VirtualNode>()
  /** Nodes that don't reach the platform. */
  readonly cutFromPlatform = new Set<VirtualNode>()
  /** Whether the regions lose each other. */
  areRegionsApart = false
  readonly #byAddress = new Map<string, VirtualNode>()
  readonly #all: VirtualNode[] = []
  #started = 0

  private constructor(private readonly opts: VirtualFleetOptions) {
    this.random = seededRandom(opts.seed)
    this.platform.store(opts.config)
    for (let i = 0; i < opts.nodes; i++) this.startNode()
    this.publishList()
  }

  static create(opts: VirtualFleetOptions): VirtualFleet {
    return new VirtualFleet(opts)
  }

  /** Encoded bytes that all nodes have sent, ended ones included. */
  get sentBytes(): number {
    return this.#all.reduce((sum, node) => sum + node.sentBytes, 0)
  }

  get sentMessages(): number {
    return this.#all.reduce((sum, node) => sum + node.sentMessages, 0)
  }

  get running(): VirtualNode[] {
    return this.nodes.filter((node) => node.isRunning)
  }

  /** Starts one more node; `seeds` are peers to start from. */
  startNode(seeds: readonly string[] = []): VirtualNode {
    const index = this.#started++
    const zone = ZONES[index % ZONES.length] ?? 'r1-z1'
    const node = VirtualNode.create({
      identity: {
        node: `n${index}`,
        incarnation: `n${index}-m1abcdef`,
        zone,
        region: zone.slice(0, 2),
        address: `10.0.${index >> 8}.${index & 255}:7001`,
      },
      events: this.events,
      network: this.#network,
      platform: this.platform,
      seed: this.opts.seed * 1_000 + index,
      seeds,
    })
    this.nodes.push(node)
    this.#all.push(node)
    this.#byAddress.set(node.identity.address, node)
    node.start()
    return node
  }

  /** Ends a node for good; peers hear nothing from it. */
  kill(node: VirtualNode): void {
    node.isKilled = true
    this.nodes.splice(this.nodes.indexOf(node), 1)
  }

  freeze(node: VirtualNode, ms: number): void {
    node.frozenUntilMs = this.events.now() + ms
  }

  /** Puts the nodes that are there now, and the replicas, on the platform's list. */
  publishList(): void {
    const entries = this.nodes.map(({ identity }) => instance(identity.node, identity))
    const count = this.opts.replicas ?? 0
    const replicas = Array.from({ length: count }, (_, i) => replica(i))
    this.platform.setInstances([...entries, ...replicas])
  }

  readonly #network: VirtualNetwork = {
    call: (from, address, serve, answered, failed) => {
      const sentAtMs = this.events.now()
      let isOver = false
      const peer = this.#byAddress.get(address)
      this.#network.run(from, CALL_TIMEOUT_MS, () => {
        if (isOver) return
        isOver = true
        failed()
      })
      if (!peer || !this.#passes(from, peer)) return
      this.#network.run(peer, this.#transit(from, peer), () => {
        const bytes = serve(peer)
        if (!this.#passes(peer, from)) return
        this.#network.run(from, this.#transit(peer, from), () => {
          if (isOver) return
          isOver = true
          answered(bytes, this.events.now() - sentAtMs)
        })
      })
    },
    run: (node, afterMs, step) => {
      this.events.after(afterMs, () => {
        this.#runThawed(node, step)
      })
    },
    reachesPlatform: (node) => !this.platform.isAway && !this.cutFromPlatform.has(node),
    platformMs: () => PLATFORM_MS * (0.5 + this.random()),
  }

  #runThawed(node: VirtualNode, step: () => void): void {
    if (node.isKilled) return
    if (this.events.now() >= node.frozenUntilMs) {
      step()
      return
    }
    this.events.after(node.frozenUntilMs - this.events.now(), () => {
      this.#runThawed(node, step)
    })
  }

  #passes(from: VirtualNode, to: VirtualNode): boolean {
    if (this.cutFromPeers.has(from) || this.cutFromPeers.has(to)) return false
    const sameRegion = from.identity.region === to.identity.region
    if (this.areRegionsApart && !sameRegion) return false
    return this.loss === 0 || this.random() >= this.loss
  }

  #transit(from: VirtualNode, to: VirtualNode): number {
    const wayMs = from.identity.zone === to.identity.zone ? NEAR_MS : FAR_MS
    return wayMs + this.random() * SERVE_MS
  }
}

function instance(
  id: string,
  { address, zone, region }: Pick<Instance, 'address' | 'zone' | 'region'>,
): Instance {
  return { id, role: 'entry', address, zone, region, state: 'live', versions: [] }
}

function replica(index: number): Instance {
  const zone = ZONES[index % ZONES.length] ?? 'r1-z1'
  return {
    id: `e${index}`,
    role: 'engine',
    address: `10.1.${index >> 8}.${index & 255}:8000`,
    zone,
    region: zone.slice(0, 2),
    state: 'live',
    versions: [`model-${index % 3}@v${index % 9}`],
  }
}
