/**
 * What may end a process: settings that it can't start with, a completed stop, and nothing
 * else that comes from outside.
 *
 * A program loads this module alone first, so that the handlers are there while the rest is
 * loading. It imports nothing but modules that the runtime has loaded already.
 */
import { writeSync } from 'node:fs'
import { currentOwner } from './errorOwner.js'
import { reportOf } from './errorReport.js'

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
  /** An error that no code handles and that belongs to no work; the process was drained. */
  unforeseen_error: 70,
} as const

export type ExitReason = keyof typeof EXIT_STATUSES

/** How an unforeseen error came up: thrown, as a rejected promise, or by a stop that failed. */
export type UnforeseenKind = 'uncaughtException' | 'unhandledRejection' | 'stop_failed'

/** Settings that the process can't start with; `message` is shown as it is. */
export class SettingsError extends Error {}

/** What the life of a process is told to, once there is a log. */
export interface LifeObserver {
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** Called on SIGHUP. */
  readonly onHangup?: () => void
  readonly onUnforeseen?: (kind: UnforeseenKind) => void
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
 * Handles the signals and the unforeseen errors of a process and ends it. An error that has
 * an owner ends the owner's work alone.
 *
 * @example
 * const life = ProcessLife.create()
 * await life.run(async () => {
 *   const { runCli } = await import('./cli.js')
 *   await runCli(life)
 * })
 */
export class ProcessLife {
  /** Resolves when the process has to stop: by a signal or after an unforeseen error. */
  readonly stopRequested: Promise<void>
  /** Resolves with the first signal that asks for a stop: a supervisor waits for the end. */
  readonly stopSignalled: Promise<void>
  #requestStop: () => void = () => undefined
  #recordSignal: () => void = () => undefined
  #observer: LifeObserver = { log: () => undefined }
  #hasObserver = false
  /** Set while the process may have requests; until then it ends without a drain. */
  #serving: { readonly graceMs: number; readonly owedForMs: () => number } | undefined
  #isStopping = false
  #isEnding = false
  #hasUnforeseen = false
  #signal: string | undefined
  #unforeseenCount = 0

  private constructor(private readonly opts: ProcessLifeOptions) {
    this.stopRequested = new Promise((resolve) => {
      this.#requestStop = resolve
    })
    this.stopSignalled = new Promise((resolve) => {
      this.#recordSignal = resolve
    })
  }

  /** Registers the handlers; they stay until the process ends. */
  static create(opts: ProcessLifeOptions = PROCESS): ProcessLife {
    const life = new ProcessLife(opts)
    const { process } = opts
    process.on('uncaughtException', (err: unknown, origin: UnforeseenKind) => {
      life.#handleUnforeseen(origin, err)
    })
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        life.#handleStopSignal(signal)
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

  /**
   * Tells that requests may be in progress from now on, so that an end needs a drain.
   *
   * @param graceMs Longest stop after a signal, and longest time that a drain after an error
   *   goes on while nothing is owed, in milliseconds.
   * @param owedForMs Returns the time until the last answer that is owed now is due, in
   *   milliseconds.
   */
  beginServing(graceMs: number, owedForMs: () => number = () => 0): void {
    this.#serving = { graceMs, owedForMs }
  }

  /**
   * Runs a program that resolves once it has stopped, and ends the process after it.
   *
   * @param main Rejects with a `SettingsError` for settings that can't be used.
   */
  async run(main: () => Promise<void>): Promise<void> {
    try {
      await main()
      await this.#end(this.#hasUnforeseen ? 'unforeseen_error' : 'stopped')
    } catch (err) {
      if (this.#isStopping) {
        this.#handleUnforeseen('stop_failed', err)
        await this.#end('unforeseen_error')
      } else if (err instanceof SettingsError) {
        this.opts.writeError(err.message)
        await this.#end('bad_settings')
      } else {
        this.opts.writeError(errorText(err))
        await this.#end('start_failed')
      }
    }
  }

  #handleStopSignal(signal: string): void {
    const isFirst = this.#signal === undefined
    this.#signal ??= signal
    this.#recordSignal()
    if (isFirst && this.#hasUnforeseen) this.#endWithin(this.#serving?.graceMs ?? 0)
    this.#stop()
  }

  #handleUnforeseen(kind: UnforeseenKind, err: unknown): void {
    if (this.#endOwner(err)) return
    this.#unforeseenCount += 1
    const count = this.#unforeseenCount
    this.#log('unforeseen_error', { kind, count, ...reportOf(err) })
    try {
      this.#observer.onUnforeseen?.(kind)
    } catch {
      // An error here would end the process at once, without the drain.
    }
    if (this.#hasUnforeseen) return
    this.#hasUnforeseen = true
    this.#stop()
    if (this.#serving) this.#endOnceNothingIsOwed(this.#serving.graceMs)
  }

  /** Ends the work that an error belongs to; returns false if it belongs to none. */
  #endOwner(err: unknown): boolean {
    const owner = currentOwner()
    if (!owner) return false
    try {
      const { work, id } = owner
      if (owner.end(err) === false)
        this.#log('late_error', { work, id, ...reportOf(err) })
      return true
    } catch {
      // Work that can't be ended may hold something for ever.
      return false
    }
  }

  /** Ends a drain that does not complete, a while after the last answer was due. */
  #endOnceNothingIsOwed(graceMs: number): void {
    const owedForMs = Math.max(0, this.#serving?.owedForMs() ?? 0)
    setTimeout(() => {
      if ((this.#serving?.owedForMs() ?? 0) > 0) this.#endOnceNothingIsOwed(graceMs)
      else void this.#end('unforeseen_error')
    }, owedForMs + graceMs)
  }

  #endWithin(ms: number): void {
    setTimeout(() => void this.#end('unforeseen_error'), ms)
  }

  #stop(): void {
    if (this.#isStopping) return
    this.#isStopping = true
    this.#requestStop()
    if (!this.#serving)
      void this.#end(this.#hasUnforeseen ? 'unforeseen_error' : 'stopped')
  }

  async #end(reason: ExitReason): Promise<void> {
    if (this.#isEnding) return
    this.#isEnding = true
    const status = EXIT_STATUSES[reason]
    const errors = this.#unforeseenCount
    const counted = errors > 0 ? { errors } : {}
    this.#log('exit', { reason, status, signal: this.#signal, ...counted })
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
