/** A fleet of real gateways that throw, with stand-ins for its store and servers. */
import {
  ReplicaStandin,
  StoreStandin,
  fleetConfig,
  type ReplicaBehaviour,
} from '@wagtailway/standins'
import { findFreePorts } from '../fleet/freePorts.js'
import { waitUntil } from '../fleet/gatewayHarness.js'
import { FAULTY_MARK, LARGE_BYTES, LARGE_PREFIX, STREAM_EVENTS } from './throwLoad.js'
import { ThrowingGateway } from './throwingGateway.js'

const PLAIN_IDS = ['p1', 'p2', 'p3']
const MODEL_IDS = ['m1', 'm2', 'm3']

const FIRST_VERSION = 1
const ROUTE_MS = 8_000
const RESPONSE_MS = 40
const DEFAULT_STREAM_MS = 5_000

/** How servers fail on purpose, in turn; not so that they are taken for failed themselves. */
const FAULTS: readonly ReplicaBehaviour[] = ['cut', 'answer', 'error', 'shed']

export interface ThrowFleetOptions {
  readonly gateways: number
  /**
   * Duration of a stream, in milliseconds.
   *
   * @default DEFAULT_STREAM_MS
   */
  readonly streamMs?: number
  /** Program of the gateways. */
  readonly program?: string
}

/**
 * Starts a fleet. The first of several gateways has no path to the servers, so that the
 * others relay its connections.
 *
 * @example
 * const fleet = await ThrowFleet.create({ gateways: 3 })
 * await fleet.close()
 */
export class ThrowFleet {
  #configVersion = FIRST_VERSION

  private constructor(
    private readonly store: StoreStandin,
    private readonly replicas: readonly ReplicaStandin[],
    readonly gateways: readonly ThrowingGateway[],
  ) {}

  static async create(opts: ThrowFleetOptions): Promise<ThrowFleet> {
    const store = await StoreStandin.create()
    putConfig(store, FIRST_VERSION)
    const { streamMs = DEFAULT_STREAM_MS } = opts
    const replicas = await Promise.all(
      [...PLAIN_IDS, ...MODEL_IDS].map((id) => createReplica(id, streamMs)),
    )
    for (const replica of replicas) {
      const service = MODEL_IDS.includes(replica.id) ? 'models' : 'plain'
      store.put('servers', replica.id, replica.entry({ service, slots: 40 }))
    }
    const cutPorts = replicas.map(({ address }) => address.split(':')[1]).join()
    const gateways = await createGateways(opts, store, cutPorts)
    return new ThrowFleet(store, replicas, gateways)
  }

  /** Stores a configuration with the next version and returns that. */
  changeConfig(): number {
    this.#configVersion += 1
    putConfig(this.store, this.#configVersion)
    return this.#configVersion
  }

  /** Number of runs of each request. */
  countRuns(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { requestId } of this.replicas.flatMap(({ runs }) => runs))
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
    return counts
  }

  /** Resolves once all gateways are ready. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(() => this.gateways.every(({ isReady }) => isReady))
  }

  async close(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()))
    await Promise.all(this.replicas.map((replica) => replica.close()))
    await this.store.close()
  }
}

function putConfig(store: StoreStandin, version: number): void {
  store.put('config', 'main', fleetConfig({ version, timeoutMs: ROUTE_MS }))
}

function createReplica(id: string, streamMs: number): Promise<ReplicaStandin> {
  let faults = 0
  const nextFault = (): ReplicaBehaviour => {
    faults += 1
    return FAULTS[faults % FAULTS.length] ?? 'answer'
  }
  return ReplicaStandin.create({
    id,
    events: STREAM_EVENTS,
    eventMs: streamMs / STREAM_EVENTS,
    responseMs: () => RESPONSE_MS,
    behaviour: ({ url }) => (url?.includes(FAULTY_MARK) ? nextFault() : 'answer'),
    responseBytes: ({ url }) => (url?.startsWith(LARGE_PREFIX) ? LARGE_BYTES : 0),
  })
}

async function createGateways(
  { gateways: count, program }: ThrowFleetOptions,
  store: StoreStandin,
  cutPorts: string,
): Promise<ThrowingGateway[]> {
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await findFreePorts(5)
  const hosts = Array.from({ length: count }, (_, i) => `127.0.0.${i + 1}`)
  return Promise.all(
    hosts.map((host, i) =>
      ThrowingGateway.create({
        name: `n${i + 1}`,
        host,
        seeds: hosts.slice(0, 3),
        ports: { callers, readiness, control, peers, metrics },
        storePort: store.port,
        ...(i === 0 && count > 1 && { cutPorts }),
        ...(program !== undefined && { program }),
      }),
    ),
  )
}
