/** Result type of operations that can fail in expected ways, from ts-results. */
import tsResults from 'ts-results'

export type { Result } from 'ts-results'

// ts-results is CommonJS, so its values come through the default import.
export const Ok = tsResults.Ok
export const Err = tsResults.Err
