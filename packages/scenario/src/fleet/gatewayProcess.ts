/** Runs a gateway as a real process, for tests of its start and its end. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { settingsFile } from '@wagtailway/standins'
import type { SoakPorts } from '../soak/soakGateway.js'
import { sendToFleet } from './fleetClient.js'
import type { LogLine } from './gatewayHarness.js'

const PROGRAM = fileURLToPath(
  new URL('../../../../platform/dist/main.js', import.meta.url),
)

const LOCALHOST = '127.0.0.1'

export interface GatewayProcessOptions {
  readonly name: string
  readonly ports: SoakPorts
  readonly storePort: number
  /** Grace period of a stop, in seconds. */
  readonly graceS: number
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
  /** What it had written to standard error. */
  readonly errorText: string
}

/**
 * One process of a gateway.
 *
 * @example
 * const gateway = await GatewayProcess.create(options)
 * gateway.signal('SIGTERM')
 * const { code } = await gateway.ended
 * await gateway.close()
 */
export class GatewayProcess {
  /** Log lines that the process has written. */
  readonly lines: LogLine[] = []
  /** Resolves once the process has ended. */
  readonly ended: Promise<ProcessEnd>
  #rest = ''

  private constructor(
    readonly opts: GatewayProcessOptions,
    private readonly child: ChildProcess,
    private readonly folder: string,
  ) {
    let errorText = ''
    child.stdout?.on('data', (chunk: Buffer) => {
      this.#read(chunk)
    })
    child.stderr?.on('data', (chunk: Buffer) => (errorText += chunk.toString()))
    this.ended = new Promise((resolve) => {
      child.once('close', (code, signal) => {
        resolve({ code, signal, errorText })
      })
    })
  }

  static async create(opts: GatewayProcessOptions): Promise<GatewayProcess> {
    const { ports, storePort } = opts
    const folder = await mkdtemp(join(tmpdir(), 'wagtailway-process-'))
    const path = join(folder, 'local.toml')
    const store = `${LOCALHOST}:${storePort}`
    const settings = { ...opts, host: LOCALHOST, seeds: [LOCALHOST], store, sessionS: 1 }
    await writeFile(path, settingsFile(settings))
    const args = ['--settings', path, '--metrics-port', `${ports.metrics}`]
    const child = spawn(process.execPath, [PROGRAM, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    return new GatewayProcess(opts, child, folder)
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  async isReady(): Promise<boolean> {
    const { ports } = this.opts
    const { status } = await sendToFleet({
      port: ports.readiness,
      path: '/-/readiness',
      timeoutMs: 500,
    })
    return status === 200
  }

  /** Kills the process if it still runs. */
  async close(): Promise<void> {
    this.signal('SIGKILL')
    await this.ended
    await rm(this.folder, { recursive: true, force: true })
  }

  #read(chunk: Buffer): void {
    const texts = (this.#rest + chunk.toString()).split('\n')
    this.#rest = texts.pop() ?? ''
    for (const text of texts) {
      const { event, ...fields } = JSON.parse(text) as Record<string, unknown>
      this.lines.push({ event: String(event), fields })
    }
  }
}
