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

/** Header by which backend servers learn the request's id. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Longest wait for copies of a billing record, in milliseconds. */
export const COPY_TIMEOUT_MS = 250

/** Longest wait for a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000

/** Longest wait for the answer to a note on a claim, in milliseconds. */
export const CLAIM_NOTE_TIMEOUT_MS = 1_000
