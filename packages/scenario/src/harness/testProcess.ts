/**
 * Starts and ends the processes of a test deployment.
 *
 * Only test tools start processes; the product never does.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export interface StartOptions {
  /** Package and binary name, such as `router/wagtailway-router`. */
  readonly binary: string
  readonly args: readonly string[]
  /** Receives each line of standard error, to which the process logs. */
  readonly onStderrLine?: (line: string) => void
  /** Receives each line of standard output after the one that announces the addresses. */
  readonly onStdoutLine?: (line: string) => void
}

/** Children that are killed when this process exits. */
const runningChildren = new Set<ChildProcess>()

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})

/**
 * A running process whose first line of output announced its addresses.
 *
 * @example
 * const router = await TestProcess.start({ binary: 'router/wagtailway-router', args })
 * router.addresses[0] // '127.0.0.1:40123'
 * await router.stop()
 */
export class TestProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Addresses in the order of the announcement. */
    readonly addresses: readonly string[],
  ) {}

  static async start(opts: StartOptions): Promise<TestProcess> {
    const [pkg, name] = opts.binary.split('/')
    const path = fileURLToPath(
      new URL(`../../../${pkg ?? ''}/bin/${name ?? ''}.js`, import.meta.url),
    )
    const child = spawn(process.execPath, ['--enable-source-maps', path, ...opts.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    runningChildren.add(child)
    child.once('exit', () => runningChildren.delete(child))
    const errorLines: string[] = []
    createInterface({ input: child.stderr }).on('line', (line) => {
      errorLines.push(line)
      opts.onStderrLine?.(line)
    })
    const announcement = await readAnnouncement(child, opts.onStdoutLine)
    if (announcement === undefined) {
      throw new Error(`${opts.binary} did not start:\n${errorLines.join('\n')}`)
    }
    return new TestProcess(child, announcement.match(/[\d.]+:\d+/g) ?? [])
  }

  get address(): string {
    return this.addresses[0] ?? ''
  }

  /** Process id, by which its resource usage can be read. */
  get pid(): number {
    return this.child.pid ?? 0
  }

  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    await this.#endWith('SIGKILL')
  }

  /** Sends SIGTERM and waits for the exit; a frozen process is resumed first. */
  async stop(): Promise<void> {
    await this.#endWith('SIGTERM')
  }

  /** Suspends the process with SIGSTOP, which it can't handle. */
  freeze(): void {
    this.child.kill('SIGSTOP')
  }

  /** Resumes a frozen process with SIGCONT. */
  thaw(): void {
    this.child.kill('SIGCONT')
  }

  async #endWith(signal: NodeJS.Signals): Promise<void> {
    if (this.hasExited) return
    const exited = once(this.child, 'exit')
    this.child.kill(signal)
    if (signal === 'SIGTERM') this.child.kill('SIGCONT')
    await exited
  }
}

/**
 * Resolves to the first line of output, or to `undefined` if the output ends without one;
 * passes later lines to `onLine`.
 */
async function readAnnouncement(
  child: ChildProcess,
  onLine: (line: string) => void = () => undefined,
): Promise<string | undefined> {
  if (!child.stdout) return undefined
  const lines = createInterface({ input: child.stdout })
  return new Promise((resolve) => {
    lines.once('line', (first) => {
      resolve(first)
      lines.on('line', onLine)
    })
    lines.once('close', () => {
      resolve(undefined)
    })
  })
}
