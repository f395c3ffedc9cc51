/**
 * Starts and ends the processes of a test deployment.
 *
 * Only the test tools start processes; the product's own never do.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export interface StartOptions {
  /** Package and binary, such as `router/wagtailway-router`. */
  readonly binary: string
  readonly args: readonly string[]
  /** Receives each line that the process logs. */
  readonly onLogLine?: (line: string) => void
  /** Receives each line that the process prints after its announcement. */
  readonly onOutLine?: (line: string) => void
}

/** Children that end with this process, however it ends. */
const running = new Set<ChildProcess>()

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/**
 * A running process that announced its address.
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
    running.add(child)
    child.once('exit', () => running.delete(child))
    const errors: string[] = []
    createInterface({ input: child.stderr }).on('line', (line) => {
      errors.push(line)
      opts.onLogLine?.(line)
    })
    const announced = await readOutput(child, opts.onOutLine)
    if (announced === undefined) {
      throw new Error(`${opts.binary} did not start:\n${errors.join('\n')}`)
    }
    return new TestProcess(child, announced.match(/[\d.]+:\d+/g) ?? [])
  }

  get address(): string {
    return this.addresses[0] ?? ''
  }

  /** Process id, to read the process's use of the machine. */
  get pid(): number {
    return this.child.pid ?? 0
  }

  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await this.#end('SIGKILL')
  }

  /** Asks the process to leave and waits for its end. */
  async stop(): Promise<void> {
    await this.#end('SIGTERM')
  }

  /** Stops the process from running without its noticing. */
  freeze(): void {
    this.child.kill('SIGSTOP')
  }

  /** Lets a frozen process go on. */
  thaw(): void {
    this.child.kill('SIGCONT')
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    if (this.hasExited) return
    const exited = once(this.child, 'exit')
    this.child.kill(signal)
    if (signal === 'SIGTERM') this.child.kill('SIGCONT')
    await exited
  }
}

/** Resolves to the first line; later ones go to `onLine`. */
async function readOutput(
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
