/** One request of a caller, as the owner of the errors in its callbacks. */
import { runOwned, type ErrorOwner } from '@wagtailway/core'

/** Undoes what was registered to be released. */
export type Undo = () => void

/**
 * Ends a request after an error in any of its callbacks, and releases what it still holds: the
 * code that would have released it may wait for an event that the error has swallowed.
 *
 * @example
 * const exchange = Exchange.create((err) => log('exchange_failed', { err }))
 * await exchange.run(() => handleRequest(node, caller))
 */
export class Exchange implements ErrorOwner {
  readonly work = 'request'
  /** Id of the request, once it is known. */
  id: string | undefined
  readonly #failed: Promise<void>
  #resolveFailed: () => void = () => undefined
  readonly #releases = new Set<() => void>()

  private constructor(private readonly onError: (err: unknown) => void) {
    this.#failed = new Promise((resolve) => {
      this.#resolveFailed = resolve
    })
  }

  /** @param onError Called with each error, to tell the caller. */
  static create(onError: (err: unknown) => void): Exchange {
    return new Exchange(onError)
  }

  /**
   * Runs the request; resolves once it has ended or an error has ended it, and then releases
   * what it still holds. Never rejects.
   */
  async run(action: () => Promise<void>): Promise<void> {
    const ended = runOwned(this, () => action().catch(this.end))
    await Promise.race([ended, this.#failed])
    for (const release of this.#releases) {
      try {
        release()
      } catch (err) {
        this.onError(err)
      }
    }
    this.#releases.clear()
  }

  readonly end = (err: unknown): void => {
    this.onError(err)
    this.#resolveFailed()
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
}
