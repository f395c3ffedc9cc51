/** Default policies of a router. */
import {
  cheapestMeetingTargets,
  concurrencyLimit,
  leastLoaded,
  monotonicClock,
  ownLoad,
} from '@wagtailway/core'
import type { ResolvedRouterOptions } from './options.js'
import type { RouterPolicies } from './routerNode.js'

/** Creates the policies that the router uses by default; docs/design explains them. */
export function defaultPolicies(cfg: ResolvedRouterOptions): RouterPolicies {
  return {
    admit: concurrencyLimit(cfg.maxInProgress),
    selectVersions: cheapestMeetingTargets({ clock: monotonicClock }),
    selectReplica: leastLoaded(ownLoad),
  }
}
