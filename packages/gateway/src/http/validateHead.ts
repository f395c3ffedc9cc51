/** Checks heads of other parties: Node's parser accepts more than its writer sends. */
import { validateHeaderName, validateHeaderValue } from 'node:http'

/** Lowest and highest status of a final response. */
const MIN_FINAL_STATUS = 200
const MAX_FINAL_STATUS = 999

/** Characters that a request target can't have. */
const INVALID_TARGET = /[^\x21-\xff]/

/**
 * Finds what is wrong with the names and values of headers; `undefined` if they can be sent.
 *
 * @param rawHeaders Names and values in turn, as Node gives them.
 *
 * @example
 * findInvalidHeader(['Cache Control', 'no-store']) // 'Header name must be a valid HTTP ...'
 */
export function findInvalidHeader(rawHeaders: readonly string[]): string | undefined {
  try {
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
      const name = rawHeaders[i] ?? ''
      validateHeaderName(name)
      validateHeaderValue(name, rawHeaders[i + 1] ?? '')
    }
    return undefined
  } catch (err) {
    return err instanceof Error ? err.message : String(err)
  }
}

/**
 * Finds what is wrong with the head of a response; `undefined` if it can be sent on.
 *
 * @example
 * findInvalidResponseHead(99, []) // 'status 99'
 */
export function findInvalidResponseHead(
  status: number,
  rawHeaders: readonly string[],
): string | undefined {
  if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) return `status ${status}`
  return findInvalidHeader(rawHeaders)
}

/**
 * Finds what is wrong with the head of a request; `undefined` if it can be sent on.
 *
 * @param target Path with the query.
 *
 * @example
 * findInvalidRequestHead('/plain/a b', []) // 'target'
 */
export function findInvalidRequestHead(
  target: string,
  rawHeaders: readonly string[],
): string | undefined {
  return INVALID_TARGET.test(target) ? 'target' : findInvalidHeader(rawHeaders)
}
