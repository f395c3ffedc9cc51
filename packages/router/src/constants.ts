/** Names and limits of the router's HTTP interface. */

/** Request headers that callers may set. */
export const CALLER_HEADERS = {
  class: 'wagtailway-class',
  session: 'wagtailway-session',
  sessionToken: 'wagtailway-session-token',
  deadlineMs: 'wagtailway-deadline-ms',
  nonIdempotent: 'wagtailway-non-idempotent',
  idempotencyKey: 'idempotency-key',
} as const

/** Response headers that the router sets. */
export const RESPONSE_HEADERS = {
  requestId: 'x-request-id',
  version: 'wagtailway-version',
  sessionToken: 'wagtailway-session-token',
  ran: 'wagtailway-ran',
} as const

/** Request header that passes the request's id to backend servers. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Maximum wait for the response to a message with record copies, in milliseconds. */
export const COPY_TIMEOUT_MS = 250

/** Maximum wait for a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000

/** Maximum wait for the response to a note on the outcome of a claim, in milliseconds. */
export const CLAIM_NOTE_TIMEOUT_MS = 1_000
