/** Result type of operations that can fail in expected ways, from ts-results. */
import * as tsResultsModule from 'ts-results'

export type { Result } from 'ts-results'

// The package has two forms: Node.js loads the CommonJS one, whose values come through the
// default import; the bundle takes the ESM one, which has no default.
const tsResults = 'default' in tsResultsModule ? tsResultsModule.default : tsResultsModule

export const Ok = tsResults.Ok

/**
 * Creates the result of an operation that failed, without the stack trace that ts-results
 * records for each one. The trace costs more than handling most requests, and these
 * failures are expected and typed.
 *
 * @example
 * return Err(notRun('overloaded', 'All replicas are busy.'))
 */
export function Err<E>(val: E): ReturnType<typeof tsResultsModule.Err<E>> {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  try {
    return tsResults.Err(val)
  } finally {
    Error.stackTraceLimit = limit
  }
}
