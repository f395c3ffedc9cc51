/** Events in virtual time. */
import { VirtualClock, type Clock } from '@wagtailway/core'

interface QueuedEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/**
 * Runs events in the order of their time; of two at one time the first added goes first.
 *
 * @example
 * const events = EventQueue.create()
 * events.after(500, () => { tick() })
 * events.runUntil(10_000)
 */
export class EventQueue {
  readonly #clock = VirtualClock.create()
  readonly #heap: QueuedEvent[] = []
  #added = 0

  static create(): EventQueue {
    return new EventQueue()
  }

  readonly now: Clock = () => this.#clock.now()

  after(ms: number, run: () => void): void {
    this.at(this.now() + Math.max(0, ms), run)
  }

  at(atMs: number, run: () => void): void {
    this.#heap.push({ atMs: Math.max(atMs, this.now()), order: this.#added++, run })
    this.#siftUp(this.#heap.length - 1)
  }

  /** Runs everything up to and including `untilMs`, then sets the clock to it. */
  runUntil(untilMs: number): void {
    for (;;) {
      const [next] = this.#heap
      if (!next || next.atMs > untilMs) break
      this.#pop()
      this.#clock.advance(next.atMs - this.now())
      next.run()
    }
    this.#clock.advance(Math.max(0, untilMs - this.now()))
  }

  #pop(): void {
    const last = this.#heap.pop()
    if (!last || this.#heap.length === 0) return
    this.#heap[0] = last
    this.#siftDown(0)
  }

  #siftUp(start: number): void {
    let child = start
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!this.#isBefore(child, parent)) return
      this.#swap(child, parent)
      child = parent
    }
  }

  #siftDown(start: number): void {
    let parent = start
    for (;;) {
      const left = 2 * parent + 1
      const right = left + 1
      let first = parent
      if (this.#isBefore(left, first)) first = left
      if (this.#isBefore(right, first)) first = right
      if (first === parent) return
      this.#swap(first, parent)
      parent = first
    }
  }

  #isBefore(a: number, b: number): boolean {
    const one = this.#heap[a]
    const other = this.#heap[b]
    if (!one || !other) return false
    return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
  }

  #swap(a: number, b: number): void {
    const one = this.#heap[a]
    const other = this.#heap[b]
    if (!one || !other) return
    this.#heap[a] = other
    this.#heap[b] = one
  }
}
