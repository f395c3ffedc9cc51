/** Room of a stand-in for requests: its slots and the queue before them. */

/**
 * Requests beyond the slots wait in the order of their arrival; those beyond the queue are
 * refused.
 *
 * @example
 * const room = new ReplicaRoom(6, 4)
 * if (await room.enter()) work().finally(() => room.leave())
 */
export class ReplicaRoom {
  #running = 0
  readonly #waiting: (() => void)[] = []
  readonly #refusedAtMs: number[] = []

  constructor(
    private readonly slots: number,
    /** Requests that may wait. */
    public queueLimit: number,
  ) {}

  /** Waits for a slot; resolves with false if the request is refused. */
  async enter(): Promise<boolean> {
    if (this.#running < this.slots) {
      this.#running += 1
      return true
    }
    if (this.#waiting.length >= this.queueLimit) {
      this.#refusedAtMs.push(performance.now())
      return false
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve))
    return true
  }

  /** Frees the slot of a request, for the next one that waits. */
  leave(): void {
    const next = this.#waiting.shift()
    if (next) next()
    else this.#running -= 1
  }

  /** Requests that were refused in the last second. */
  get refusalsInLastSecond(): number {
    const sinceMs = performance.now() - 1_000
    return this.#refusedAtMs.filter((atMs) => atMs > sinceMs).length
  }
}
