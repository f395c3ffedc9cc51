/** Configurations of many routes, in the form of the users' platform. */
import type { Random } from '@wagtailway/core'

const NAME_CHARS = 'abcdefghijklmnopqrstuvwxyz0123456789'

const NAME_LENGTH = 8

/**
 * Returns a configuration of `routeCount` routes with random names.
 *
 * @example
 * JSON.stringify(largeConfig(1_400, seededRandom(1))).length // about 490,000
 */
export function largeConfig(routeCount: number, random: Random): unknown {
  const name = (): string =>
    Array.from(
      { length: NAME_LENGTH },
      () => NAME_CHARS[Math.floor(random() * NAME_CHARS.length)],
    ).join('')
  const routes = Array.from({ length: routeCount }, () => ({
    name: name(),
    host: `${name()}.example`,
    pathPrefix: `/${name()}/`,
    kind: 'streaming',
    service: name(),
    timeoutMs: 15_000,
    targetLatencyMs: 3_000,
    targetGapMs: 1_000,
    priority: 2,
    attempts: 3,
    public: false,
    streamResumption: true,
    sessionAffinity: true,
    sizes: [name(), name(), name()],
    trafficSplit: [{ service: name(), weight: 1 }],
  }))
  return { routes }
}
