/** The behaviour of a router that nothing else is asked of. */
import {
  cheapestMeetingTargets,
  concurrencyLimit,
  leastLoaded,
  monotonicClock,
  ownLoad,
} from '@wagtailway/core'
import type { ResolvedRouterOptions } from './options.js'
import type { RouterPolicies } from './routerNode.js'

/** Creates the policies that the measurements in docs/design favour. */
export function defaultPolicies(cfg: ResolvedRouterOptions): RouterPolicies {
  return {
    admit: concurrencyLimit(cfg.maxInProgress),
    selectVersions: cheapestMeetingTargets({ clock: monotonicClock }),
    chooseReplica: leastLoaded(ownLoad),
  }
}
