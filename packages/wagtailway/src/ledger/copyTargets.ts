/** Selection of the nodes that retain copies of an incarnation's records. */
import { rendezvous } from '../hash.js'
import type { MemberIdentity } from '../member/member.js'

/**
 * Selects up to `count` members, each in a different availability zone and none in the
 * node's own zone, preferably in the same region. Zones repeat, and the own zone is used,
 * only if there are too few other zones.
 *
 * @example
 * selectCopyTargets(self, members.alive(), 2)
 */
export function selectCopyTargets<M extends MemberIdentity>(
  self: MemberIdentity,
  alive: readonly M[],
  count: number,
): M[] {
  const ranked = rendezvous(self.incarnation, alive, ({ node }) => node)
  const sameRegion = ranked.filter(({ region }) => region === self.region)
  const ordered = [
    ...sameRegion,
    ...ranked.filter(({ region }) => region !== self.region),
  ]
  const usedZones = new Set([zoneKey(self)])
  const selected: M[] = []
  for (const member of ordered) {
    if (selected.length >= count) break
    if (usedZones.has(zoneKey(member))) continue
    usedZones.add(zoneKey(member))
    selected.push(member)
  }
  const others = ordered.filter((member) => !selected.includes(member))
  return [...selected, ...others].slice(0, count)
}

function zoneKey({ region, zone }: MemberIdentity): string {
  return `${region}/${zone}`
}
