/** Choice of the nodes that keep copies of an incarnation's records. */
import { rendezvous } from '../hash.js'
import type { MemberIdentity } from '../member/member.js'

/**
 * Up to `count` members, each of another availability zone than the node's own and
 * the others', of the same region where there are any; zones repeat only if there
 * are too few.
 *
 * @example
 * chooseCopyTargets(self, members.alive(), 2)
 */
export function chooseCopyTargets<M extends MemberIdentity>(
  self: MemberIdentity,
  alive: readonly M[],
  count: number,
): M[] {
  const ranked = rendezvous(self.incarnation, alive, ({ node }) => node)
  const near = ranked.filter(({ region }) => region === self.region)
  const ordered = [...near, ...ranked.filter(({ region }) => region !== self.region)]
  const zones = new Set([zoneOf(self)])
  const chosen: M[] = []
  for (const member of ordered) {
    if (chosen.length >= count) break
    if (zones.has(zoneOf(member))) continue
    zones.add(zoneOf(member))
    chosen.push(member)
  }
  const rest = ordered.filter((member) => !chosen.includes(member))
  return [...chosen, ...rest].slice(0, count)
}

function zoneOf({ region, zone }: MemberIdentity): string {
  return `${region}/${zone}`
}
