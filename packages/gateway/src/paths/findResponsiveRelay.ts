/** Finds another entry instance through which a backend server responds. */
import type { Random } from '@wagtailway/core'
import { selectRelay, type RelayCandidate } from './selectRelay.js'

/** Relays that are asked at a time. */
const RELAYS_AT_A_TIME = 4

/** Relays that are asked in all. */
const MAX_RELAYS = 16

export interface RelaySearch {
  readonly candidates: readonly RelayCandidate[]
  readonly zone: string
  readonly random: Random
  /** Whether the server responds through a relay. */
  readonly bringsResponse: (relay: RelayCandidate) => Promise<boolean>
}

/**
 * Name of the first relay through which a server responds; `undefined` if none of those asked
 * brings a response, which says nothing about the server: they may have no path either. One
 * that has failed makes room for the next, because few may be left that have a path.
 *
 * @example
 * await findResponsiveRelay({ candidates, zone: 'z1', random, bringsResponse }) // 'n7'
 */
export async function findResponsiveRelay({
  candidates,
  zone,
  random,
  bringsResponse,
}: RelaySearch): Promise<string | undefined> {
  const tried = new Set<string>()
  let found: string | undefined
  const askOthers = async (): Promise<string> => {
    while (found === undefined && tried.size < MAX_RELAYS) {
      const history = { tried, failedZones: new Set<string>() }
      const relay = selectRelay(candidates, zone, history, random)
      if (!relay || tried.has(relay.address.name)) break
      const { name } = relay.address
      tried.add(name)
      if (!(await bringsResponse(relay))) continue
      found ??= name
      return name
    }
    throw new Error('no further relay')
  }
  const searches = Array.from({ length: RELAYS_AT_A_TIME }, askOthers)
  return Promise.any(searches).catch(() => undefined)
}
