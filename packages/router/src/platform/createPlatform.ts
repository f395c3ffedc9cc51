/** Creates the platform client with its call budget and metrics. */
import type { CallBudget } from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import type { RouterMetrics } from '../metrics.js'
import type { ResolvedRouterOptions } from '../options.js'

/** Creates a client that counts every call and stays within the budget. */
export function createPlatform(
  cfg: ResolvedRouterOptions,
  budget: CallBudget,
  metrics: RouterMetrics,
): PlatformClient {
  return PlatformClient.create({
    url: cfg.platform,
    budget,
    onCall: (operation) => {
      metrics.platformCalls.inc({ operation })
    },
    onCallRejected: (operation, reason) => {
      metrics.platformCallsHeldBack.inc({ operation, reason })
    },
    onFailure: (operation) => {
      metrics.platformFailures.inc({ operation })
    },
  })
}
