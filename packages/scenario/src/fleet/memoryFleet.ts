/** A real gateway process with its memory limit, a busy workspace and a sound one. */
import { readFile } from 'node:fs/promises'
import type { Agent } from 'node:http'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { SoakGateway } from '../soak/soakGateway.js'
import { sendToFleet, type FleetResponse } from './fleetClient.js'
import { findFreePorts } from './freePorts.js'
import { waitUntil } from './gatewayHarness.js'

/** Heap of the process as the deploy file starts it, in megabytes. */
const HEAP_MB = 120

const HOST = '127.0.0.1'
const MAX_BODY_BYTES = 8_388_608
const TARGET_MS = 5_000
const KB_PER_MB = 1_024

/** Time between two requests of the sound workspace, in milliseconds. */
const SOUND_INTERVAL_MS = 25

export interface MemoryFleetOptions {
  /** Memory limit in the settings of the process. */
  readonly memoryMb: number
  /** Backend server of all requests; by default one that answers after `responseMs`. */
  readonly serverAddress?: string
  readonly responseMs?: number
  /**
   * Largest heap of the process, in megabytes.
   *
   * @default that of the deploy file
   */
  readonly heapMb?: number
  /**
   * Limit of its open descriptors, also in its settings.
   *
   * @default that of this process, and none in the settings
   */
  readonly fileLimit?: number
}

/**
 * Runs one gateway as the deploy file does.
 *
 * @example
 * const fleet = await MemoryFleet.create({ memoryMb: 178 })
 * const sound = fleet.startSoundRequests()
 * (await sound.stop()).every(({ status }) => status === 200)
 * await fleet.peakMb() // 95
 * await fleet.close()
 */
export class MemoryFleet {
  #requestCount = 0

  private constructor(
    readonly gateway: SoakGateway,
    readonly replica: ReplicaStandin,
    private readonly store: StoreStandin,
  ) {}

  static async create(opts: MemoryFleetOptions): Promise<MemoryFleet> {
    const {
      memoryMb,
      serverAddress,
      responseMs = 400,
      heapMb = HEAP_MB,
      fileLimit,
    } = opts
    const store = await StoreStandin.create()
    store.put('config', 'main', config())
    const replica = await ReplicaStandin.create({
      id: 'p1',
      responseMs: () => responseMs,
    })
    const address = serverAddress ?? replica.address
    store.put('servers', 'p1', replica.entry({ address }))
    const [callers, readiness, control, peers, metrics] = await findFreePorts(5)
    const gateway = await SoakGateway.create({
      name: 'n1',
      host: HOST,
      seeds: [HOST],
      ports: {
        callers: callers ?? 0,
        readiness: readiness ?? 0,
        control: control ?? 0,
        peers: peers ?? 0,
        metrics: metrics ?? 0,
      },
      storePort: store.port,
      memoryMb,
      nodeArgs: [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=2'],
      ...(fileLimit !== undefined && { fileLimit }),
    })
    const fleet = new MemoryFleet(gateway, replica, store)
    await waitUntil(() => gateway.isReady())
    await waitUntil(async () => (await fleet.sendSound()).status === 200)
    return fleet
  }

  get port(): number {
    return this.gateway.opts.ports.callers
  }

  /** Largest resident memory of the process so far, in megabytes. */
  async peakMb(): Promise<number> {
    const status = await readFile(`/proc/${this.gateway.pid ?? 0}/status`, 'utf8')
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KB_PER_MB
  }

  /** Value of a metric, such as `name{label="value"}`; `undefined` if there is none. */
  async metric(series: string): Promise<number | undefined> {
    const { metrics } = this.gateway.opts.ports
    const { body } = await sendToFleet({ port: metrics, path: '/metrics' })
    const line = body.split('\n').find((text) => text.startsWith(`${series} `))
    return line === undefined ? undefined : Number(line.slice(series.length))
  }

  /** Lines of the process's log with an event. */
  logLines(event: string): string[] {
    return this.gateway.logLines.filter((line) => line.includes(`"event":"${event}"`))
  }

  /** Sends one request of the sound workspace. */
  async sendSound(agent?: Agent): Promise<FleetResponse> {
    this.#requestCount += 1
    const requestId = `sound-${this.#requestCount}`
    return sendToFleet({
      ...(agent && { agent }),
      port: this.port,
      path: `/plain/${requestId}`,
      headers: callerHeaders({ key: 'key-2', requestId, waitMs: 5_000 }),
    })
  }

  /** Sends requests of the sound workspace at a steady rate until they are stopped. */
  startSoundRequests(): { stop(): Promise<FleetResponse[]> } {
    const responses: Promise<FleetResponse>[] = []
    const timer = setInterval(() => {
      responses.push(this.sendSound())
    }, SOUND_INTERVAL_MS)
    return {
      stop: () => {
        clearInterval(timer)
        return Promise.all(responses)
      },
    }
  }

  async close(): Promise<void> {
    await this.gateway.close()
    await this.replica.close()
    await this.store.close()
  }
}

/** A configuration with a second workspace, and room for large bodies. */
function config(): unknown {
  const base = fleetConfig({ version: 1, timeoutMs: 10_000 }) as {
    routes: object[]
    services: object[]
    limits: object
    tenants: unknown[]
  }
  return {
    ...base,
    // The test process is busy with the load, so its server may answer late.
    routes: base.routes.map((route) => ({ ...route, targetLatencyMs: TARGET_MS })),
    services: base.services.map((service) => ({ ...service, connectionLimit: 2_000 })),
    limits: { ...base.limits, bodyBytes: MAX_BODY_BYTES },
    tenants: [...base.tenants, { name: 'sound', apiKeys: ['key-2'] }],
  }
}
