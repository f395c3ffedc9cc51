/** Work that goes on as long as the process, such as the reports to other instances. */
import { runOwned, type ErrorOwner } from '@wagtailway/core'
import { reportFailure, type FailureObserver } from '../observe/failures.js'

/** Pause after a turn that failed, in milliseconds. */
const FAILED_PAUSE_MS = 250

/** Time before a timer is due in which it counts as swallowed after an error, in milliseconds. */
const TIMER_TOLERANCE_MS = 20

interface PendingAction {
  readonly action: () => void
  dueAtMs: number
  timer?: NodeJS.Timeout
}

/**
 * Owner of the errors of one loop: an error in any of its callbacks ends that turn alone, and
 * a timer that an error has swallowed runs a moment later.
 *
 * @example
 * const reports = Loop.create(node.opts, 'reports')
 * const stop = reports.repeat(0, () => { link.send(); return 250 })
 */
export class Loop implements ErrorOwner {
  readonly #pending = new Set<PendingAction>()

  private constructor(
    private readonly observer: FailureObserver,
    readonly work: string,
  ) {}

  static create(observer: FailureObserver, work: string): Loop {
    return new Loop(observer, work)
  }

  readonly end = (err: unknown): void => {
    reportFailure(this.observer, 'loop_failed', this, err)
    const dueMs = performance.now() + TIMER_TOLERANCE_MS
    for (const pending of this.#pending)
      if (pending.dueAtMs <= dueMs) this.#start(pending, FAILED_PAUSE_MS)
  }

  /** Runs an action, and later all callbacks that follow from it, as part of the loop. */
  run<T>(action: () => T): T {
    return runOwned(this, action)
  }

  /** Runs an action after a delay in milliseconds; returns a function that cancels it. */
  after(delayMs: number, action: () => void): () => void {
    const pending = { action, dueAtMs: 0 }
    this.#pending.add(pending)
    this.#start(pending, delayMs)
    return () => {
      this.#cancel(pending)
    }
  }

  /**
   * Runs an action once more after each delay that it returns, also if one turn fails; returns
   * a function that ends it.
   *
   * @param firstDelayMs Delay before the first turn, in milliseconds; 0 runs it at once.
   */
  repeat(firstDelayMs: number, action: () => number | Promise<number>): () => void {
    let cancel: () => void = () => undefined
    let isStopped = false
    const schedule = (delayMs: number): void => {
      if (!isStopped) cancel = this.after(delayMs, () => void turn())
    }
    const turn = async (): Promise<void> => {
      let nextMs = FAILED_PAUSE_MS
      try {
        nextMs = await action()
      } catch (err) {
        this.end(err)
      }
      schedule(nextMs)
    }
    if (firstDelayMs === 0) this.run(() => void turn())
    else schedule(firstDelayMs)
    return () => {
      isStopped = true
      cancel()
    }
  }

  #start(pending: PendingAction, delayMs: number): void {
    clearTimeout(pending.timer)
    pending.dueAtMs = performance.now() + delayMs
    pending.timer = this.run(() =>
      setTimeout(() => {
        if (this.#pending.delete(pending)) pending.action()
      }, delayMs),
    )
  }

  #cancel(pending: PendingAction): void {
    this.#pending.delete(pending)
    clearTimeout(pending.timer)
  }
}
