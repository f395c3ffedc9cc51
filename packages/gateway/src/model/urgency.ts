/** Urgency of requests, from 0, the most urgent. */

/** Urgency levels between adjacent workspace priorities: more than route priorities span. */
export const WORKSPACE_URGENCY_STEP = 3

/** Least urgent level that engines support. */
export const LOWEST_URGENCY = 9

/** Prompts with a shorter prefill time count as short, in milliseconds: a few engine steps. */
const SHORT_PREFILL_MS = 40

/** Priorities of a request, zero being the most urgent. */
export interface RequestPriority {
  readonly workspace: number
  readonly route: number
}

/**
 * Urgency that an engine is given. Short prompts go first: they delay a long one only
 * slightly, but would miss their target behind several long ones.
 *
 * @param demotion Levels by which the request is less urgent, such as beyond a share.
 *
 * @example
 * engineUrgency({ workspace: 0, route: 0 }, 800) // 1
 */
export function engineUrgency(
  priority: RequestPriority,
  prefillMs: number,
  demotion = 0,
): number {
  const routeUrgency = prefillMs < SHORT_PREFILL_MS ? 0 : 1 + priority.route
  return Math.min(
    LOWEST_URGENCY,
    priority.workspace * WORKSPACE_URGENCY_STEP + routeUrgency + demotion,
  )
}
