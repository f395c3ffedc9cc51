/** The session pins of one entry instance, with their counters. */
import { PinBacklog, SessionPins, type Claims } from '@wagtailway/core'
import type { RouterMetrics } from '../metrics.js'

/** Creates pins that are claimed through `claims`. */
export function createSessionPins(
  claims: Claims,
  metrics: RouterMetrics,
  isPlatformAway: () => boolean,
): SessionPins {
  const backlog = PinBacklog.create({
    claim: (request) => claims.claim(request),
    onConflict: () => {
      metrics.sessionPins.inc({ source: 'conflict' })
    },
    onDrop: () => {
      metrics.sessionPins.inc({ source: 'dropped' })
    },
  })
  return SessionPins.create({ claims, backlog, isPlatformUnavailable: isPlatformAway })
}
