/**
 * How many permits for one cold server each entry instance may issue, so that all together keep
 * the bound in every second.
 */

/** Bound on the requests that a cold server may get in any second, from all instances. */
export interface ColdBound {
  /** Multiple of the requests a second that the service names for its cold servers. */
  readonly over: number
  /** Further requests. */
  readonly slack: number
}

/** Time from the ask within which a permit must be used, in milliseconds. */
export const PERMIT_TTL_MS = 250

/**
 * Window in which an instance issues a limited number of permits, in milliseconds: those that
 * are used in one second were issued in that second or within `PERMIT_TTL_MS` before it.
 */
export const ISSUE_WINDOW_MS = 1_000 + PERMIT_TTL_MS

/** Share of the bound that a deputy issues, as a divisor; one permit at least. */
const DEPUTY_DIVISOR = 11

/** Permits that an instance may issue in each `ISSUE_WINDOW_MS`. */
export interface IssueQuota {
  readonly responsible: number
  readonly deputy: number
}

/**
 * Divides the bound. Two instances may take themselves for the one responsible while they don't
 * hear each other, or one after the other in the same window, and a third one may stand in as the
 * deputy; the sum of all three stays within the bound.
 *
 * @param bound Requests in any second.
 *
 * @example
 * divideBound(15.05) // { responsible: 7, deputy: 1 }
 */
export function divideBound(bound: number): IssueQuota {
  const whole = Math.floor(bound)
  const deputy = whole < 3 ? 0 : Math.max(1, Math.floor(whole / DEPUTY_DIVISOR))
  // A bound of one can't be divided; a service whose servers are all cold must still serve.
  const responsible = Math.max(Math.min(1, whole), Math.floor((whole - deputy) / 2))
  return { responsible, deputy }
}

/** Largest bound that counts: an issuer keeps one number for each permit of a window. */
export const MAX_BOUND = 1_000

/**
 * Requests in any second that a cold server of a service may get.
 *
 * @example
 * boundOf(6.7, { over: 1.5, slack: 5 }) // 15.05
 */
export function boundOf(coldRequestsPerS: number, { over, slack }: ColdBound): number {
  return Math.min(MAX_BOUND, coldRequestsPerS * over + slack)
}
