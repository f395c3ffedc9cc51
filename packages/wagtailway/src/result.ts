/** Result type of operations that can fail in expected ways, from ts-results. */
import tsResults from 'ts-results'

export type { Result } from 'ts-results'

// ts-results is CommonJS, so its values come through the default import.
export const Ok = tsResults.Ok

/**
 * Creates the result of an operation that failed, without the stack trace that ts-results
 * records for each one. The trace costs more than handling most requests, and these
 * failures are expected and typed.
 *
 * @example
 * return Err(notRun('overloaded', 'All replicas are busy.'))
 */
export function Err<E>(val: E): ReturnType<typeof tsResults.Err<E>> {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  try {
    return tsResults.Err(val)
  } finally {
    Error.stackTraceLimit = limit
  }
}
