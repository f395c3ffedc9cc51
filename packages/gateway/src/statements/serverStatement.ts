/** What backend servers say of themselves in the heads of their responses. */

/**
 * A statement of a server about itself:
 *
 * - `leaving`: it shuts down soon and wants no new requests
 * - `hold`: it wants no requests from this instance for a time in milliseconds
 * - `brittle`: it fails if it has to refuse more than so many requests in a second
 */
export type ServerStatement =
  | { readonly type: 'leaving' }
  | { readonly type: 'hold'; readonly forMs: number }
  | { readonly type: 'brittle'; readonly maxRefusalsPerS: number }

export type StatementType = ServerStatement['type']

/** The statements of one response head. */
export interface StatementsRead {
  readonly statements: readonly ServerStatement[]
  /** Types of statements with a value that can't be read; they are ignored. */
  readonly invalid: readonly StatementType[]
}

export const NO_STATEMENTS: StatementsRead = { statements: [], invalid: [] }

/** A statement as one entry instance tells it to the others. */
export interface ReportedStatement {
  readonly incarnation: string
  readonly service: string
  readonly type: StatementType
  /** Value of the statement; `undefined` if the server no longer makes it. */
  readonly value: number | undefined
  /** Time since the response, in milliseconds. */
  readonly ageMs: number
  /** Instance through which the response came, if it was not direct. */
  readonly relay: string | undefined
}
