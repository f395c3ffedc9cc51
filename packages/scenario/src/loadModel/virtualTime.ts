/** A discrete-event scheduler: runs callbacks in virtual time, in order of their times. */
import TinyQueue from 'tinyqueue'
import type { Clock } from '@wagtailway/core'

interface Timer {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/**
 * A queue of timers with its own clock.
 *
 * @example
 * const time = VirtualTime.create()
 * time.after(1_000, () => console.log(time.now()))
 * time.runUntil(5_000)
 */
export class VirtualTime {
  readonly #timers = new TinyQueue<Timer>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  )
  #nowMs = 0
  #order = 0

  static create(): VirtualTime {
    return new VirtualTime()
  }

  readonly now: Clock = () => this.#nowMs

  /** Calls `run` after `delayMs` milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.#order += 1
    this.#timers.push({ atMs: this.#nowMs + delayMs, order: this.#order, run })
  }

  /** Calls `run` every `intervalMs` milliseconds, the first time after one interval. */
  every(intervalMs: number, run: () => void): void {
    this.after(intervalMs, () => {
      run()
      this.every(intervalMs, run)
    })
  }

  /** Runs all timers due up to and including `endMs`, then sets the clock to it. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.#timers.peek()
      if (!next || next.atMs > endMs) break
      this.#timers.pop()
      this.#nowMs = next.atMs
      next.run()
    }
    this.#nowMs = endMs
  }
}
