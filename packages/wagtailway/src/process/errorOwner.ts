/**
 * Whose error it is: the work that an error ends alone, if one of its callbacks throws.
 *
 * The runtime keeps the owner through timers, promises and events of connections that were
 * opened for the work, and still knows it when an error reaches the top of the stack.
 */
import { AsyncLocalStorage } from 'node:async_hooks'

/** Work that is ended by an error in any of its callbacks. */
export interface ErrorOwner {
  /** Kind of the work, such as `request`. */
  readonly work: string
  /** Tells it from other work of its kind. */
  readonly id?: string | undefined
  /**
   * Ends the work; called for each error. Returns `false` if nobody learns of the error, as the
   * work had ended before: then it is logged for the process.
   */
  readonly end: (err: unknown) => unknown
}

const owners = new AsyncLocalStorage<ErrorOwner>()

/** Owner of the callback that is running; `undefined` if it has none. */
export function currentOwner(): ErrorOwner | undefined {
  return owners.getStore()
}

/**
 * Runs an action, and later all callbacks that follow from it, for an owner. What the action
 * itself throws goes to the calling code.
 *
 * @example
 * runOwned({ work: 'request', id: 'r-1', end: () => res.destroy() }, () => handle(req, res))
 */
export function runOwned<T>(owner: ErrorOwner, action: () => T): T {
  return owners.run(owner, action)
}

/**
 * Returns a listener that runs for the present owner, for events that come up elsewhere, such
 * as those of a caller's connection. Without an owner it is returned as it is.
 *
 * @example
 * res.on('close', bindOwner(() => attempt.cancel()))
 */
export function bindOwner<A extends unknown[]>(
  listener: (...args: A) => void,
): (...args: A) => void {
  const owner = owners.getStore()
  if (!owner) return listener
  return (...args) => {
    try {
      owners.run(owner, listener, ...args)
    } catch (err) {
      owner.end(err)
    }
  }
}

/**
 * Runs a call whose promise rejects with the error of any of its callbacks, so that nobody
 * waits for it for ever.
 *
 * @example
 * const listed = await callOwned('store call', 'servers', () => store.list('servers'))
 */
export function callOwned<T>(
  work: string,
  id: string,
  call: () => Promise<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    let isSettled = false
    const end = (err: unknown): boolean => {
      const isFirst = !isSettled
      isSettled = true
      reject(err)
      return isFirst
    }
    runOwned({ work, id, end }, () => {
      call().then((result) => {
        isSettled = true
        resolve(result)
      }, end)
    })
  })
}
