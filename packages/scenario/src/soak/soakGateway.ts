/** One real gateway process of the soak, with a relay between it and the store. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { settingsFile } from '@wagtailway/standins'
import { sendToFleet } from '../fleet/fleetClient.js'
import { TcpRelay } from '../relay/index.js'
import { COLD_BOUND } from './soakCheck.js'
import { SoakProcess } from './soakProcess.js'

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
  /**
   * The gateway's program.
   *
   * @default that of this build
   */
  readonly program?: string
  /** Memory above which the process is killed, as its settings tell it. */
  readonly memoryMb?: number
  /**
   * Limit of the open descriptors of its processes, also in their settings.
   *
   * @default that of this process, and none in the settings
   */
  readonly fileLimit?: number
  /** Arguments of Node.js. */
  readonly nodeArgs?: readonly string[]
  /** Environment variables of its processes beyond those of this one. */
  readonly env?: Readonly<Record<string, string>>
  /**
   * Whether a process that ended by itself is started again.
   *
   * @default false
   */
  readonly isSupervised?: boolean
}

/** What goes with one start of a process. */
export interface StartOptions {
  /**
   * Limit of its open descriptors.
   *
   * @default that of this process
   */
  readonly fileLimit?: number
  /** Called between the end of the process before and the start. */
  readonly beforeStart?: () => Promise<void>
  /** Called after the start. */
  readonly afterStart?: (process: SoakProcess) => void
}

/** A period in milliseconds of `performance.now()`. */
export interface Period {
  readonly fromMs: number
  untilMs: number
}

/** Grace period of a gateway, in seconds. */
const GRACE_S = 4

/** Time by which an end may come later than the grace period, in milliseconds. */
const STOP_MARGIN_MS = 1_000

/**
 * Time from a start until a gateway must take requests, in milliseconds; it may have to
 * wait for a socket that another process holds.
 */
const START_MS = 6_000

/** Time until a process that had been frozen must answer in time again, in milliseconds. */
const THAW_MS = 1_000

/** Time until a process that ended by itself is started again, in milliseconds. */
const RESTART_MS = 300

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
  /** Periods in which the soak itself keeps this gateway from serving requests. */
  readonly downPeriods: Period[] = []
  /** What its processes did that they must not do. */
  readonly findings: string[] = []
  /** Number of processes that this gateway has had so far. */
  startCount = 0
  /** The latest process. */
  process: SoakProcess | undefined
  #openDownPeriod: Period | undefined
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
    return this.process?.isRunning === true
  }

  /** Whether its process is running and wasn't asked to end. */
  get isSettled(): boolean {
    return this.isRunning && !this.#isRestarting
  }

  /** Id of the process; `undefined` before the first start. */
  get pid(): number | undefined {
    return this.process?.pid
  }

  /** Starts the process; throws if it is running. */
  start({ fileLimit = this.opts.fileLimit }: StartOptions = {}): SoakProcess {
    const { ports, name, program = PROGRAM, nodeArgs = [], env } = this.opts
    if (this.isRunning) throw new Error(`${name} is running`)
    this.startCount += 1
    const args = ['--settings', this.#settingsPath, '--metrics-port', `${ports.metrics}`]
    this.process = SoakProcess.create({
      command: [process.execPath, ...nodeArgs, program, ...args],
      ...(fileLimit !== undefined && { fileLimit }),
      ...(env && { env }),
      stopMs: GRACE_S * 1_000 + STOP_MARGIN_MS,
      onLine: (line) => {
        this.logLines.push(line)
        this.logLines.splice(0, Math.max(0, this.logLines.length - MAX_LOG_LINES))
      },
      onFinding: (text) => this.findings.push(`${name}: ${text}`),
      onUnaskedEnd: () => {
        if (this.opts.isSupervised && !this.#isRestarting)
          this.#startAfterExit(RESTART_MS)
      },
    })
    this.#endDownPeriod(START_MS)
    return this.process
  }

  signal(signal: NodeJS.Signals): void {
    if (!this.isRunning) return
    if (signal === 'SIGCONT' && !this.#isRestarting) this.#endDownPeriod(THAW_MS)
    if (signal === 'SIGKILL' || signal === 'SIGTERM' || signal === 'SIGSTOP') {
      this.#openDownPeriod ??= this.markDown(Infinity)
    }
    this.process?.signal(signal)
  }

  /** Marks that the soak keeps this gateway from serving requests for a time. */
  markDown(ms: number): Period {
    const nowMs = performance.now()
    const period = { fromMs: nowMs, untilMs: nowMs + ms }
    this.downPeriods.push(period)
    return period
  }

  #endDownPeriod(laterMs: number): void {
    if (this.#openDownPeriod) this.#openDownPeriod.untilMs = performance.now() + laterMs
    this.#openDownPeriod = undefined
  }

  /**
   * Ends the process with a signal and starts it again `downMs` after its exit. While an
   * earlier restart is in progress, only sends the signal.
   */
  restart(signal: NodeJS.Signals, downMs: number, opts: StartOptions = {}): void {
    this.signal(signal)
    if (!this.#isRestarting) this.#startAfterExit(downMs, opts)
  }

  #startAfterExit(downMs: number, opts: StartOptions = {}): void {
    this.#isRestarting = true
    void this.waitForExit()
      .then(() => opts.beforeStart?.())
      .then(() => {
        setTimeout(() => {
          this.#isRestarting = false
          if (this.#isClosed) return
          const process = this.start(opts)
          opts.afterStart?.(process)
        }, downMs)
      })
  }

  /** Resolves once the process has exited. */
  async waitForExit(): Promise<void> {
    await this.process?.exited
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
    const cold = COLD_BOUND
    return settingsFile({ ...this.opts, store, graceS: GRACE_S, sessionS: 1, cold })
  }
}

/** Number of log lines kept for a report. */
const MAX_LOG_LINES = 200
