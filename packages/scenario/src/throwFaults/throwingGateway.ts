/** A real gateway process that throws from its callbacks when it is told to. */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sendToFleet } from '../fleet/fleetClient.js'
import { SoakGateway, type SoakGatewayOptions } from '../soak/soakGateway.js'
import { parseRecords, type ThrowOrder, type ThrowRecords } from './throwOrder.js'

/** Pause between two looks of the balancer at the readiness, in milliseconds. */
const BALANCER_MS = 100

const NO_RECORDS: ThrowRecords = { throws: [], calls: [] }

export interface ThrowingGatewayOptions extends SoakGatewayOptions {
  /** Ports to which it gets no connections, separated by commas. */
  readonly cutPorts?: string
}

/**
 * Runs a gateway with the module that throws, and asks for its readiness like a balancer.
 *
 * @example
 * const throwing = await ThrowingGateway.create(options)
 * await throwing.order({ mode: 'seeded', seed: 1, every: 500, pauseMs: 200 })
 * const { throws } = await throwing.readRecords()
 * await throwing.close()
 */
export class ThrowingGateway {
  /** Whether the balancer sends requests to it. */
  isReady = false
  /** Ends of its processes, in milliseconds of `Date.now()`. */
  readonly endedAtMs: number[] = []
  #isClosed = false

  private constructor(
    readonly gateway: SoakGateway,
    private readonly folder: string,
  ) {
    void this.#watchReadiness()
    void this.#watchEnds()
  }

  static async create({
    cutPorts,
    ...opts
  }: ThrowingGatewayOptions): Promise<ThrowingGateway> {
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-throw-'))
    const modules = cutPorts === undefined ? ['preload'] : ['cutPaths', 'preload']
    const gateway = await SoakGateway.create({
      ...opts,
      isSupervised: true,
      nodeArgs: modules.flatMap((name) => [
        '--import',
        new URL(`./${name}.js`, import.meta.url).href,
      ]),
      env: {
        ...(cutPorts !== undefined && { THROW_FAULTS_CUT_PORTS: cutPorts }),
        THROW_FAULTS_ORDER: orderPath(folder),
        THROW_FAULTS_RECORDS: recordPath(folder),
      },
    })
    return new ThrowingGateway(gateway, folder)
  }

  get name(): string {
    return this.gateway.opts.name
  }

  /** Orders the program what to throw; it follows within 50 ms. */
  async order(order: ThrowOrder): Promise<void> {
    await writeFile(orderPath(this.folder), JSON.stringify(order))
  }

  async readRecords(): Promise<ThrowRecords> {
    const text = await readFile(recordPath(this.folder), 'utf8').catch(() => undefined)
    return text === undefined ? NO_RECORDS : parseRecords(text)
  }

  /** Reads the values of the metrics page, by name and labels. */
  async readMetrics(): Promise<ReadonlyMap<string, number>> {
    const { host, ports } = this.gateway.opts
    const target = { server: host, port: ports.metrics, path: '/metrics' }
    const { body } = await sendToFleet({ ...target, timeoutMs: 2_000 })
    const lines = body.split('\n').filter((line) => line !== '' && !line.startsWith('#'))
    return new Map(
      lines.map((line) => {
        const end = line.lastIndexOf(' ')
        return [line.slice(0, end), Number(line.slice(end + 1))]
      }),
    )
  }

  async close(): Promise<void> {
    this.#isClosed = true
    await this.gateway.close()
    await rm(this.folder, { recursive: true, force: true })
  }

  async #watchReadiness(): Promise<void> {
    while (!this.#isClosed) {
      this.isReady = this.gateway.isRunning && (await this.gateway.isReady())
      await pause()
    }
  }

  async #watchEnds(): Promise<void> {
    while (!this.#isClosed) {
      const { process } = this.gateway
      await process?.exited
      if (!this.#isClosed) this.endedAtMs.push(Date.now())
      while (!this.#isClosed && this.gateway.process === process) await pause()
    }
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, BALANCER_MS))
}

function orderPath(folder: string): string {
  return join(folder, 'order.json')
}

function recordPath(folder: string): string {
  return join(folder, 'records')
}
