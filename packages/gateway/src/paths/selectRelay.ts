/** Selects the entry instance that relays a connection to a backend server. */
import type { Random } from '@wagtailway/core'
import type { PeerAddress } from '../peers/peerTable.js'

/** Another instance that relays connections. */
export interface RelayCandidate {
  readonly address: PeerAddress
  readonly zone: string
  /** Bandwidth of its machine's link, in megabits per second. */
  readonly linkMbps: number
}

/**
 * What was asked so far: relays that were tried, and the zones of those that tried to reach
 * the server themselves and failed.
 */
export interface RelayHistory {
  readonly tried: ReadonlySet<string>
  readonly failedZones: ReadonlySet<string>
}

/**
 * Selects a relay in the own zone, because traffic between zones is expensive; after a
 * failure there one of another zone, because a cut may affect a whole zone. Among equals
 * the chance follows the bandwidth, which spreads the load.
 *
 * @example
 * selectRelay(peers.relays('plain'), 'z1', { tried: new Set(), failedZones: new Set() }, random)
 */
export function selectRelay(
  candidates: readonly RelayCandidate[],
  ownZone: string,
  { tried, failedZones }: RelayHistory,
  random: Random,
): RelayCandidate | undefined {
  const untried = candidates.filter(({ address }) => !tried.has(address.name))
  const inOwnZone = untried.filter(({ zone }) => zone === ownZone)
  const inOtherZones = untried.filter(
    ({ zone }) => zone !== ownZone && !failedZones.has(zone),
  )
  const order = tried.size === 0 ? [inOwnZone, inOtherZones] : [inOtherZones, inOwnZone]
  const preferred = order.find((group) => group.length > 0) ?? untried
  return drawByBandwidth(preferred, random)
}

function drawByBandwidth(
  candidates: readonly RelayCandidate[],
  random: Random,
): RelayCandidate | undefined {
  const total = candidates.reduce((sum, { linkMbps }) => sum + linkMbps, 0)
  let remaining = random() * total
  for (const candidate of candidates) {
    remaining -= candidate.linkMbps
    if (remaining < 0) return candidate
  }
  return candidates.at(-1)
}
