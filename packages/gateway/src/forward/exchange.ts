/** One request of a caller, as the owner of the errors in its callbacks. */
import { runOwned, type ErrorOwner } from '@wagtailway/core'
import { reportFailure, type FailureObserver } from '../observe/failures.js'

/** Undoes what was registered to be released. */
export type Undo = () => void

/**
 * Ends a request after an error in any of its callbacks, and releases what it still holds: the
 * code that would have released it may wait for an event that the error has swallowed.
 *
 * @example
 * const exchange = Exchange.create(node.opts, () => caller.fail())
 * await exchange.run(() => handleRequest(node, caller))
 * exchange.forget()
 */
export class Exchange implements ErrorOwner {
  readonly work = 'request'
  /** Id of the request, once it is known. */
  id: string | undefined
  readonly #failed: Promise<void>
  #resolveFailed: () => void = () => undefined
  readonly #releases = new Set<() => void>()
  #tellCaller: (() => void) | undefined

  private constructor(
    private readonly observer: FailureObserver,
    tellCaller: () => void,
  ) {
    this.#tellCaller = tellCaller
    this.#failed = new Promise((resolve) => {
      this.#resolveFailed = resolve
    })
  }

  /** @param tellCaller Called for each error, after it is logged. */
  static create(observer: FailureObserver, tellCaller: () => void): Exchange {
    return new Exchange(observer, tellCaller)
  }

  /**
   * Runs the request; resolves once it has ended or an error has ended it, and then releases
   * what it still holds. Never rejects.
   */
  async run(action: () => Promise<void>): Promise<void> {
    const ended = runOwned(this, () => action().catch(this.end))
    await Promise.race([ended, this.#failed])
    this.#releaseAll()
    // The code may have been waiting for something, such as a place, and get it after the error.
    void ended.then(() => {
      this.#releaseAll()
    })
  }

  readonly end = (err: unknown): void => {
    try {
      this.#handleError(err)
    } finally {
      this.#resolveFailed()
    }
  }

  /**
   * Forgets the caller, once the response is closed. A kept connection that was opened for the
   * request keeps this owner as long as it lives, and with it what the owner knows.
   */
  forget(): void {
    this.#tellCaller = undefined
  }

  /**
   * Calls `release` once the request has ended, unless it is undone before.
   *
   * @example
   * const undo = exchange.defer(() => hold.close())
   */
  defer(release: () => void): Undo {
    this.#releases.add(release)
    return () => {
      this.#releases.delete(release)
    }
  }

  #handleError(err: unknown): void {
    try {
      reportFailure(this.observer, 'exchange_failed', this, err)
    } finally {
      this.#tellCaller?.()
    }
  }

  #releaseAll(): void {
    for (const release of this.#releases) {
      try {
        release()
      } catch (err) {
        this.#handleError(err)
      }
    }
    this.#releases.clear()
  }
}
