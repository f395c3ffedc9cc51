/** Selects the nodes that watch the platform on behalf of a zone. */
import { rendezvous } from '../hash.js'
import type { Member } from './member.js'

/** Number of nodes per zone that watch the platform. */
export const WATCHERS_PER_ZONE = 6

/**
 * Number of these watchers that also poll the list of instances, which is the larger
 * read.
 */
export const LIST_WATCHERS_PER_ZONE = 2

/**
 * Watchers of a zone, the same at all nodes that know the same members.
 *
 * @example
 * watchersOf('z1', [self, ...members.alive()]).map(({ node }) => node)
 */
export function watchersOf(
  zone: string,
  members: readonly Member[],
  count = WATCHERS_PER_ZONE,
): Member[] {
  const candidates = members.filter((member) => member.zone === zone && !member.leaving)
  return rendezvous(`watch ${zone}`, candidates, ({ node }) => node).slice(0, count)
}
