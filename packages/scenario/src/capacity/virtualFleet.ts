/** Many entry instances in one process, in virtual time, with fault injection. */
import { seededRandom, type EffectiveConfig, type Random } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import { VirtualTime } from '../loadModel/virtualTime.js'
import { VirtualNode, type VirtualNetwork } from './virtualNode.js'
import { VirtualPlatform } from './virtualPlatform.js'

/** Timeout of a call between nodes, in milliseconds. */
const CALL_TIMEOUT_MS = 700

/** One-way network latency within a zone and between zones, in milliseconds. */
const SAME_ZONE_MS = 0.3
const CROSS_ZONE_MS = 1.5

/** Maximum time that a node takes to process a message, in milliseconds. */
const MAX_SERVE_MS = 2

/** Mean duration of a call to the platform, in milliseconds. */
const PLATFORM_LATENCY_MS = 5

const ZONES = ['r1-z1', 'r1-z2', 'r1-z3', 'r2-z1', 'r2-z2', 'r2-z3']

export interface VirtualFleetOptions {
  readonly nodes: number
  readonly seed: number
  readonly config: EffectiveConfig
  /**
   * Number of backend servers on the platform's list.
   * @default 0
   */
  readonly replicas?: number
}

/**
 * A simulated fleet into which faults can be injected.
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
  /** Probability that a message is lost, for requests and responses alike. */
  loss = 0
  /** Nodes that can't exchange messages with any other node. */
  readonly cutFromPeers = new Set<VirtualNode>()
  /** Nodes that can't reach the platform. */
  readonly cutFromPlatform = new Set<VirtualNode>()
  /** Whether messages between regions are dropped. */
  areRegionsPartitioned = false
  readonly #nodesByAddress = new Map<string, VirtualNode>()
  readonly #allNodes: VirtualNode[] = []
  #startedCount = 0

  private constructor(private readonly opts: VirtualFleetOptions) {
    this.random = seededRandom(opts.seed)
    this.platform.store(opts.config)
    for (let i = 0; i < opts.nodes; i++) this.startNode()
    this.publishList()
  }

  static create(opts: VirtualFleetOptions): VirtualFleet {
    return new VirtualFleet(opts)
  }

  /** Encoded bytes that all nodes have sent, killed ones included. */
  get sentBytes(): number {
    return this.#allNodes.reduce((sum, node) => sum + node.sentBytes, 0)
  }

  get sentMessages(): number {
    return this.#allNodes.reduce((sum, node) => sum + node.sentMessages, 0)
  }

  get running(): VirtualNode[] {
    return this.nodes.filter((node) => node.isRunning)
  }

  /** Starts one more node; `seeds` are the addresses of its bootstrap peers. */
  startNode(seeds: readonly string[] = []): VirtualNode {
    const index = this.#startedCount++
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
    this.#allNodes.push(node)
    this.#nodesByAddress.set(node.identity.address, node)
    node.start()
    return node
  }

  /** Kills a node permanently, without notifying its peers. */
  kill(node: VirtualNode): void {
    node.isKilled = true
    this.nodes.splice(this.nodes.indexOf(node), 1)
  }

  freeze(node: VirtualNode, ms: number): void {
    node.frozenUntilMs = this.events.now() + ms
  }

  /** Sets the platform's list to the current nodes and the replicas. */
  publishList(): void {
    const entries = this.nodes.map(({ identity }) => createEntry(identity.node, identity))
    const count = this.opts.replicas ?? 0
    const replicas = Array.from({ length: count }, (_, i) => createReplica(i))
    this.platform.setInstances([...entries, ...replicas])
  }

  readonly #network: VirtualNetwork = {
    call: (from, address, serve, answered, failed) => {
      const sentAtMs = this.events.now()
      let isSettled = false
      const peer = this.#nodesByAddress.get(address)
      this.#network.run(from, CALL_TIMEOUT_MS, () => {
        if (isSettled) return
        isSettled = true
        failed()
      })
      if (!peer || !this.#isDelivered(from, peer)) return
      this.#network.run(peer, this.#transitMs(from, peer), () => {
        const bytes = serve(peer)
        if (!this.#isDelivered(peer, from)) return
        this.#network.run(from, this.#transitMs(peer, from), () => {
          if (isSettled) return
          isSettled = true
          answered(bytes, this.events.now() - sentAtMs)
        })
      })
    },
    run: (node, afterMs, step) => {
      this.events.after(afterMs, () => {
        this.#runWhenThawed(node, step)
      })
    },
    reachesPlatform: (node) =>
      !this.platform.isUnavailable && !this.cutFromPlatform.has(node),
    platformLatencyMs: () => PLATFORM_LATENCY_MS * (0.5 + this.random()),
  }

  #runWhenThawed(node: VirtualNode, step: () => void): void {
    if (node.isKilled) return
    if (this.events.now() >= node.frozenUntilMs) {
      step()
      return
    }
    this.events.after(node.frozenUntilMs - this.events.now(), () => {
      this.#runWhenThawed(node, step)
    })
  }

  #isDelivered(from: VirtualNode, to: VirtualNode): boolean {
    if (this.cutFromPeers.has(from) || this.cutFromPeers.has(to)) return false
    const sameRegion = from.identity.region === to.identity.region
    if (this.areRegionsPartitioned && !sameRegion) return false
    return this.loss === 0 || this.random() >= this.loss
  }

  #transitMs(from: VirtualNode, to: VirtualNode): number {
    const oneWayMs =
      from.identity.zone === to.identity.zone ? SAME_ZONE_MS : CROSS_ZONE_MS
    return oneWayMs + this.random() * MAX_SERVE_MS
  }
}

function createEntry(
  id: string,
  { address, zone, region }: Pick<Instance, 'address' | 'zone' | 'region'>,
): Instance {
  return { id, role: 'entry', address, zone, region, state: 'live', versions: [] }
}

function createReplica(index: number): Instance {
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
