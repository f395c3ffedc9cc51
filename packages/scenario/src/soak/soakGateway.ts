/** One real gateway process of the soak, with a relay between it and the store. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { settingsFile } from '@wagtailway/standins'
import { sendToFleet } from '../fleet/fleetClient.js'
import { TcpRelay } from '../relay/index.js'

const PROGRAM = fileURLToPath(
  new URL('../../../../platform/dist/main.js', import.meta.url),
)

export interface SoakPorts {
  readonly callers: number
  readonly readiness: number
  readonly control: number
  readonly peers: number
  readonly metrics: number
}

export interface SoakGatewayOptions {
  readonly name: string
  /** Loopback address, unique for each gateway because all of them use the same ports. */
  readonly host: string
  readonly seeds: readonly string[]
  readonly ports: SoakPorts
  readonly storePort: number
  /** Memory above which the process is killed, as its settings tell it. */
  readonly memoryMb?: number
  /** Arguments of Node.js. */
  readonly nodeArgs?: readonly string[]
}

/**
 * A gateway process that can be killed, paused, stopped and started again.
 *
 * @example
 * const gateway = await SoakGateway.create(options)
 * gateway.signal('SIGSTOP')
 * await gateway.close()
 */
export class SoakGateway {
  /** Last lines of standard output and standard error, to report with a failed seed. */
  readonly logLines: string[] = []
  /**
   * End of the time in which the soak disturbs this gateway by restarts, pauses or faults
   * of its link to the store, including the recovery; in milliseconds of
   * `performance.now()`.
   */
  disturbedUntilMs = 0
  /** Number of processes that this gateway has had so far. */
  startCount = 0
  #child: ChildProcess | undefined
  #isRestarting = false
  #isClosed = false

  private constructor(
    readonly opts: SoakGatewayOptions,
    readonly storeRelay: TcpRelay,
    private readonly folder: string,
  ) {}

  static async create(opts: SoakGatewayOptions): Promise<SoakGateway> {
    const storeRelay = await TcpRelay.create({ target: `127.0.0.1:${opts.storePort}` })
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-soak-'))
    const gateway = new SoakGateway(opts, storeRelay, folder)
    await writeFile(gateway.#settingsPath, gateway.#settings())
    gateway.start()
    return gateway
  }

  get #settingsPath(): string {
    return join(this.folder, 'local.toml')
  }

  get isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null
  }

  /** Id of the process; `undefined` before the first start. */
  get pid(): number | undefined {
    return this.#child?.pid
  }

  /** Starts the process; throws if it is running. */
  start(): void {
    if (this.isRunning) throw new Error(`${this.opts.name} is running`)
    this.startCount += 1
    const { ports, nodeArgs = [] } = this.opts
    const args = ['--settings', this.#settingsPath, '--metrics-port', `${ports.metrics}`]
    const child = spawn(process.execPath, [...nodeArgs, PROGRAM, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk: Buffer) => {
        this.logLines.push(...chunk.toString().split('\n'))
        this.logLines.splice(0, Math.max(0, this.logLines.length - MAX_LOG_LINES))
      })
    }
    this.#child = child
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child?.kill(signal)
  }

  /**
   * Ends the process with a signal and starts it again `downMs` after its exit. While an
   * earlier restart is in progress, only sends the signal.
   */
  restart(signal: NodeJS.Signals, downMs: number): void {
    this.signal(signal)
    if (this.#isRestarting) return
    this.#isRestarting = true
    void this.waitForExit().then(() => {
      setTimeout(() => {
        this.#isRestarting = false
        if (!this.#isClosed) this.start()
      }, downMs)
    })
  }

  /** Resolves once the process has exited. */
  async waitForExit(): Promise<void> {
    const child = this.#child
    if (!child || !this.isRunning) return
    await new Promise((resolve) => child.once('exit', resolve))
  }

  async isReady(): Promise<boolean> {
    const { host, ports } = this.opts
    const response = await sendToFleet({
      server: host,
      port: ports.readiness,
      path: '/-/readiness',
      timeoutMs: 500,
    })
    return response.status === 200
  }

  async close(): Promise<void> {
    this.#isClosed = true
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.waitForExit()
    await this.storeRelay.close()
    await rm(this.folder, { recursive: true, force: true })
  }

  #settings(): string {
    const store = this.storeRelay.address
    return settingsFile({ ...this.opts, store, graceS: 4, sessionS: 1 })
  }
}

/** Number of log lines kept for a report. */
const MAX_LOG_LINES = 200
