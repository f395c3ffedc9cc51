/** One process of a gateway as its parent sees it: its output, its signals and its end. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import type { Readable } from 'node:stream'
import { ERROR_EVENTS } from '@wagtailway/gateway'

export interface SoakProcessOptions {
  readonly command: readonly string[]
  /**
   * Limit of its open descriptors.
   *
   * @default that of this process
   */
  readonly fileLimit?: number
  /** Environment variables beyond those of this process. */
  readonly env?: Readonly<Record<string, string>>
  /** Time from SIGTERM within which the process must end, in milliseconds. */
  readonly stopMs: number
  /** Called with each line of standard output and standard error. */
  readonly onLine: (line: string) => void
  readonly onFinding: (text: string) => void
  /** Called at an end that nobody had asked for. */
  readonly onUnaskedEnd: () => void
}

/** Bit of SIGUSR1 among the signals that a process catches. */
const SIGUSR1_BIT = 0x200

const POLL_MS = 5

/**
 * Processor time of the main thread at a program's first line, as a multiple of that at
 * which the runtime catches SIGUSR1; no program can handle a signal before that line. A
 * program of one line has 1.2.
 */
const FIRST_LINE_FACTOR = 1.5

/** Longest time between the two, in milliseconds, for programs that take less. */
const MAX_FIRST_LINE_MS = 500

/** Time for the last lines of standard error to arrive, in milliseconds. */
const LAST_LINES_MS = 100

const MAX_ERROR_LINES = 12

const runningChildren = new Set<ChildProcess>()

// A gateway outlives the reader of its output, so it would outlive a soak that fails.
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})

/** Number of characters of a finding. */
const MAX_FINDING_LENGTH = 600

/**
 * Starts a process, reads its output and finds each end that nobody asked for, each stop
 * that fails or takes too long, each line of standard output that isn't JSON and each
 * error that the program didn't foresee.
 *
 * @example
 * const process = SoakProcess.create({ command: ['node', 'main.js'], stopMs: 5_000, ...handlers })
 * process.signal('SIGTERM')
 * await process.exited
 */
export class SoakProcess {
  readonly stdout: Readable
  readonly stderr: Readable
  readonly exited: Promise<void>
  /** Resolves once the program can handle signals, or has ended. */
  readonly started: Promise<void>
  readonly #child: ChildProcess
  readonly #errorLines: string[] = []
  /** Time of the start, in milliseconds of `performance.now()`. */
  readonly startMs = performance.now()
  /** Time of the first SIGTERM; moved by the time in which the process was frozen since. */
  #stopSentAtMs: number | undefined
  #frozenAtMs: number | undefined
  #isKilled = false

  private constructor(private readonly opts: SoakProcessOptions) {
    const [program = '', ...args] = opts.command
    const stdio: ['ignore', 'pipe', 'pipe'] = ['ignore', 'pipe', 'pipe']
    const env = { ...process.env, ...opts.env }
    const child =
      opts.fileLimit === undefined
        ? spawn(program, args, { stdio, env })
        : spawn(
            'bash',
            ['-c', `ulimit -n ${opts.fileLimit}; exec "$@"`, 'bash', program, ...args],
            { stdio, env },
          )
    this.#child = child
    runningChildren.add(child)
    this.stdout = child.stdout
    this.stderr = child.stderr
    readLines(child.stdout, (line) => {
      opts.onLine(line)
      this.#checkLine(line)
    })
    readLines(child.stderr, (line) => {
      opts.onLine(line)
      if (line.includes('"unforeseen_error"')) this.#find(line) // before there is a log
      if (/^\s+at |^\s*$/.test(line)) return // of a stack trace
      this.#errorLines.push(line.trim())
      this.#errorLines.splice(0, this.#errorLines.length - MAX_ERROR_LINES)
    })
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        runningChildren.delete(child)
        this.#checkEnd(code, signal)
        resolve()
      })
    })
    this.started = this.#awaitFirstLine()
  }

  static create(opts: SoakProcessOptions): SoakProcess {
    return new SoakProcess(opts)
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  get pid(): number | undefined {
    return this.#child.pid
  }

  /** Sends a signal; one that the program should handle as soon as it can do so. */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM' || signal === 'SIGHUP') {
      void this.started.then(() => {
        this.#send(signal)
      })
    } else this.#send(signal)
  }

  #send(signal: NodeJS.Signals): void {
    if (!this.isRunning) return
    const nowMs = performance.now()
    if (signal === 'SIGKILL') this.#isKilled = true
    if (signal === 'SIGSTOP') this.#frozenAtMs ??= nowMs
    if (signal === 'SIGTERM' && this.#stopSentAtMs === undefined) {
      this.#stopSentAtMs = nowMs
      this.#killIfLate()
    }
    if (signal === 'SIGCONT' && this.#frozenAtMs !== undefined) {
      if (this.#stopSentAtMs !== undefined)
        this.#stopSentAtMs += nowMs - Math.max(this.#frozenAtMs, this.#stopSentAtMs)
      this.#frozenAtMs = undefined
    }
    this.#child.kill(signal)
  }

  /** Time that a stop may still take, in milliseconds; negative if it is late. */
  get #stopLeftMs(): number {
    const sinceMs = this.#stopSentAtMs ?? performance.now()
    return sinceMs + this.opts.stopMs - (this.#frozenAtMs ?? performance.now())
  }

  #killIfLate(): void {
    setTimeout(
      () => {
        if (!this.isRunning || this.#isKilled) return
        if (this.#stopLeftMs > 0 || this.#frozenAtMs !== undefined) {
          this.#killIfLate()
          return
        }
        this.#find(`ran on ${this.opts.stopMs} ms after SIGTERM`)
        this.signal('SIGKILL')
      },
      Math.max(this.#stopLeftMs, 0) + POLL_MS,
    ).unref()
  }

  #checkEnd(code: number | null, signal: string | null): void {
    if (this.#isKilled) return
    const isStop = this.#stopSentAtMs !== undefined
    if (isStop && code === 0) return
    if (!isStop) this.opts.onUnaskedEnd()
    const lifeMs = Math.round(performance.now() - this.startMs)
    const cause = isStop ? 'at a stop' : 'that nobody asked for'
    setTimeout(() => {
      const lines = this.#errorLines.join(' | ')
      this.#find(
        `end ${cause} after ${lifeMs} ms: code ${code ?? 'none'}, signal ${signal ?? 'none'}; standard error: ${lines}`,
      )
    }, LAST_LINES_MS)
  }

  #checkLine(line: string): void {
    try {
      const { event } = JSON.parse(line) as { event?: unknown }
      if (typeof event === 'string' && ERROR_EVENTS.has(event)) this.#find(line)
    } catch {
      this.#find(`a line is no JSON: ${line}`)
    }
  }

  #find(text: string): void {
    this.opts.onFinding(text.slice(0, MAX_FINDING_LENGTH))
  }

  async #awaitFirstLine(): Promise<void> {
    let caught: { readonly cpu: number; readonly atMs: number } | undefined
    while (this.isRunning) {
      const { catchesSignals, cpu } = this.#readStart()
      const nowMs = performance.now()
      if (catchesSignals) caught ??= { cpu, atMs: nowMs }
      if (caught && cpu >= caught.cpu * FIRST_LINE_FACTOR) return
      if (caught && nowMs >= caught.atMs + MAX_FIRST_LINE_MS) return
      await sleep(POLL_MS)
    }
  }

  /** Reads whether the runtime catches SIGUSR1, and the main thread's processor time. */
  #readStart(): { readonly catchesSignals: boolean; readonly cpu: number } {
    const folder = `/proc/${this.#child.pid ?? ''}`
    try {
      const status = readFileSync(`${folder}/status`, 'utf8')
      const [, caught = ''] = /^SigCgt:\s*(\w+)$/m.exec(status) ?? []
      const [cpu] = readFileSync(`${folder}/schedstat`, 'utf8').split(' ')
      const bits = Number.parseInt(caught.slice(-8), 16)
      return { catchesSignals: (bits & SIGUSR1_BIT) !== 0, cpu: Number(cpu) }
    } catch {
      // Without such files the longest time applies.
      return { catchesSignals: true, cpu: Number.NaN }
    }
  }
}

function readLines(stream: Readable, onLine: (line: string) => void): void {
  let rest = ''
  stream.setEncoding('utf8').on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n')
    rest = lines.pop() ?? ''
    lines.forEach(onLine)
  })
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
