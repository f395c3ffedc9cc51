/** A daemon as a real process of its own, whose output and end are recorded. */
import { spawn, type ChildProcessByStdio } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Readable } from 'node:stream'
import { settingsFile } from '@wagtailway/standins'
import { sendToFleet } from '../fleet/fleetClient.js'
import { findFreePorts } from '../fleet/freePorts.js'

const LOCALHOST = '127.0.0.1'

export interface ProcessEnd {
  readonly status: number | null
  readonly signal: NodeJS.Signals | null
}

/** One line of the log; which fields there are depends on the event. */
export type LoggedLine = Readonly<Record<string, unknown>>

/**
 * Runs a program of Node.js.
 *
 * @example
 * const daemon = DaemonProcess.create(['target/wagtailway-gateway.mjs', '--help'])
 * await daemon.ended // { status: 0, signal: null }
 */
export class DaemonProcess {
  stdout = ''
  stderr = ''
  /** Resolves with the end of the process, after all of its output. */
  readonly ended: Promise<ProcessEnd>
  readonly #child: ChildProcessByStdio<null, Readable, Readable>

  private constructor(args: readonly string[], cwd: string | undefined) {
    this.#child = spawn(process.execPath, args, {
      cwd,
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    this.#child.stdout.on('data', (chunk: Buffer) => (this.stdout += chunk.toString()))
    this.#child.stderr.on('data', (chunk: Buffer) => (this.stderr += chunk.toString()))
    this.ended = new Promise((resolve) => {
      this.#child.once('close', (status, signal) => {
        resolve({ status, signal })
      })
    })
  }

  static create(args: readonly string[], cwd?: string): DaemonProcess {
    return new DaemonProcess(args, cwd)
  }

  get pid(): number {
    return this.#child.pid ?? 0
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Lines of the log so far with the given event, from standard output. */
  lines(event: string): LoggedLine[] {
    return this.stdout
      .split('\n')
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as LoggedLine)
      .filter((line) => line['event'] === event)
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  async close(): Promise<void> {
    this.signal('SIGKILL')
    await this.ended
  }
}

/** Settings and ports of one gateway process. */
export interface GatewayPlace {
  readonly callerPort: number
  readonly readinessPort: number
  readonly metricsPort: number
  /** Text of the settings file. */
  readonly settings: string
  /** Path at which `create` writes the settings file, or leaves it to the test. */
  readonly settingsPath: string
  /** Arguments of the program. */
  readonly args: readonly string[]
  readonly folder: string
  isReady(): Promise<boolean>
  close(): Promise<void>
}

/**
 * Finds free ports and writes the settings of a gateway.
 *
 * @param graceS Time from the request to shut down to the end of the process, in seconds.
 * @param isWritten Whether the settings file is written now.
 *
 * @example
 * const place = await createGatewayPlace({ storePort: store.port, graceS: 4 })
 * const daemon = DaemonProcess.create([program, ...place.args])
 */
export async function createGatewayPlace({
  storePort,
  graceS,
  isWritten = true,
}: {
  readonly storePort: number
  readonly graceS: number
  readonly isWritten?: boolean
}): Promise<GatewayPlace> {
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await findFreePorts(5)
  const folder = await mkdtemp(join(tmpdir(), 'wagtailway-daemon-'))
  const settingsPath = join(folder, 'local.toml')
  const settings = settingsFile({
    name: 'n1',
    host: LOCALHOST,
    seeds: [LOCALHOST],
    ports: { callers, readiness, control, peers },
    store: `${LOCALHOST}:${storePort}`,
    graceS,
    sessionS: 1,
  })
  if (isWritten) await writeFile(settingsPath, settings)
  return {
    callerPort: callers,
    readinessPort: readiness,
    metricsPort: metrics,
    settings,
    settingsPath,
    args: ['--settings', settingsPath, '--metrics-port', `${metrics}`],
    folder,
    isReady: async () => {
      const response = await sendToFleet({ port: readiness, path: '/-/readiness' })
      return response.status === 200
    },
    close: () => rm(folder, { recursive: true, force: true }),
  }
}
