/**
 * What may end a process: settings that it can't start with, a completed stop, and nothing
 * else that comes from outside.
 *
 * A program loads this module alone first, so that the handlers are there while the rest is
 * loading. It imports nothing but modules that the runtime has loaded already.
 */
import { writeSync } from 'node:fs'

/** Signals that ask for a stop: requests in progress are answered, then the process ends. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const

/**
 * Signals without a meaning here whose default would end the process. SIGUSR1 and SIGPROF
 * stay with the runtime, SIGPIPE and SIGXFSZ are ignored by it.
 */
const IGNORED_SIGNALS = [
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGIO',
  'SIGPWR',
  'SIGSTKFLT',
  'SIGXCPU',
] as const

/** Longest wait for the last lines of the log, in milliseconds. */
const FLUSH_MS = 300

const STDERR_FD = 2

/** Exit status by the reason of the end. */
export const EXIT_STATUSES = {
  /** A signal asked for a stop, which was completed. */
  stopped: 0,
  /** Something that the start needs could not be had, such as a port. */
  start_failed: 1,
  /** The command line or the settings can't be used. */
  bad_settings: 2,
} as const

export type ExitReason = keyof typeof EXIT_STATUSES

/** Settings that the process can't start with; `message` is shown as it is. */
export class SettingsError extends Error {}

/** What the life of a process is told to, once there is a log. */
export interface LifeObserver {
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** Called on SIGHUP. */
  readonly onHangup?: () => void
  /** Writes the last lines of the log, within the given time in milliseconds. */
  readonly flush?: (timeoutMs: number) => Promise<unknown>
}

export interface ProcessLifeOptions {
  readonly process: Pick<NodeJS.EventEmitter, 'on'> & {
    readonly exit: (status: number) => void
  }
  /** Writes a line while there is no log. */
  readonly writeError: (line: string) => void
}

/**
 * Handles the signals of a process and ends it.
 *
 * @example
 * const life = ProcessLife.create()
 * await life.run(async () => {
 *   const { runCli } = await import('./cli.js')
 *   await runCli(life)
 * })
 */
export class ProcessLife {
  /** Resolves when the process has to stop: by a signal. */
  readonly stopRequested: Promise<void>
  #requestStop: () => void = () => undefined
  #observer: LifeObserver = { log: () => undefined }
  #hasObserver = false
  /** Whether there may be requests in progress; until then a stop needs no drain. */
  #isServing = false
  #isStopping = false
  #isEnding = false
  #signal: string | undefined
  private constructor(private readonly opts: ProcessLifeOptions) {
    this.stopRequested = new Promise((resolve) => {
      this.#requestStop = resolve
    })
  }

  /** Registers the handlers; they stay until the process ends. */
  static create(opts: ProcessLifeOptions = PROCESS): ProcessLife {
    const life = new ProcessLife(opts)
    const { process } = opts
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        life.#stop(signal)
      })
    }
    for (const signal of IGNORED_SIGNALS) {
      process.on(signal, () => {
        life.#observer.log('signal_ignored', { signal })
      })
    }
    // The last one: a process that catches it has all handlers.
    process.on('SIGHUP', () => {
      life.#observer.onHangup?.()
    })
    return life
  }

  /** Sends what happens from now on to the observer. */
  observe(observer: LifeObserver): void {
    this.#observer = observer
    this.#hasObserver = true
  }

  /** Tells that requests may be in progress from now on, so that a stop needs a drain. */
  beginServing(): void {
    this.#isServing = true
  }

  /**
   * Runs a program that resolves once it has stopped, and ends the process after it.
   *
   * @param main Rejects with a `SettingsError` for settings that can't be used.
   */
  async run(main: () => Promise<void>): Promise<void> {
    try {
      await main()
      await this.#end('stopped')
    } catch (err) {
      if (err instanceof SettingsError) {
        this.opts.writeError(err.message)
        await this.#end('bad_settings')
      } else {
        this.opts.writeError(errorText(err))
        await this.#end('start_failed')
      }
    }
  }

  #stop(signal: string): void {
    if (this.#isStopping) return
    this.#isStopping = true
    this.#signal = signal
    this.#requestStop()
    if (!this.#isServing) void this.#end('stopped')
  }

  async #end(reason: ExitReason): Promise<void> {
    if (this.#isEnding) return
    this.#isEnding = true
    const status = EXIT_STATUSES[reason]
    this.#log('exit', { reason, status, signal: this.#signal })
    try {
      await this.#observer.flush?.(FLUSH_MS)
    } finally {
      this.opts.process.exit(status)
    }
  }

  /** Writes to standard error while there is no log. */
  #log(event: string, fields: Readonly<Record<string, unknown>>): void {
    try {
      if (this.#hasObserver) {
        this.#observer.log(event, fields)
        return
      }
    } catch {
      // A log that fails must not hide what it was to tell.
    }
    this.opts.writeError(JSON.stringify({ event, ...fields }))
  }
}

function errorText(err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

const PROCESS: ProcessLifeOptions = {
  process,
  writeError: (line) => {
    try {
      writeSync(STDERR_FD, `${line}\n`)
    } catch {
      // Standard error is closed or full; the exit status still tells the reason.
    }
  },
}
