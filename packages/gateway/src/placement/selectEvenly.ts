/**
 * Selects a server when the known loads are older than most requests in progress.
 *
 * Handles a large fleet and short requests: if all instances sent each request to the
 * server with the least load, they would all select the same one until the next report.
 * Instead the arrivals until then are spread so that the loads become equal: the lower the
 * load of a server, the larger its share.
 */
import type { Random } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'

/** Requests that arrive between two reports for each one in progress. */
const ARRIVALS_PER_RUNNING = 2

/** Servers that are compared at most; of more, as many are drawn. */
const MAX_CANDIDATES = 16

/**
 * Selects a server at random, in proportion to how far its load is below the level that
 * the expected arrivals will reach. Returns `undefined` if there are no servers.
 *
 * @example
 * selectEvenly(servers, (id) => loads.total(id).running, random)?.id
 */
export function selectEvenly(
  servers: readonly BackendServer[],
  runningOn: (serverId: string) => number,
  random: Random,
): BackendServer | undefined {
  const candidates = drawCandidates(servers, random)
  const loads = candidates.map(({ id }) => runningOn(id))
  const total = loads.reduce((sum, running) => sum + running, 0)
  const level = levelAfter(loads, 1 + ARRIVALS_PER_RUNNING * total)
  const shares = loads.map((running) => Math.max(0, level - running))
  let remaining = random() * shares.reduce((sum, share) => sum + share, 0)
  for (const [i, share] of shares.entries()) {
    remaining -= share
    if (remaining < 0) return candidates[i]
  }
  return candidates.at(-1)
}

/**
 * Level of the lowest loads once an amount has been added to them and to no others.
 *
 * @example
 * levelAfter([1, 2, 9], 3) // 3
 */
export function levelAfter(loads: readonly number[], amount: number): number {
  const ascending = loads.toSorted((a, b) => a - b)
  let sum = amount
  for (const [i, load] of ascending.entries()) {
    sum += load
    const level = sum / (i + 1)
    const next = ascending[i + 1]
    if (next === undefined || level <= next) return level
  }
  return amount
}

function drawCandidates(
  servers: readonly BackendServer[],
  random: Random,
): readonly BackendServer[] {
  if (servers.length <= MAX_CANDIDATES) return servers
  const drawn = new Set<BackendServer>()
  while (drawn.size < MAX_CANDIDATES) {
    const server = servers[Math.floor(random() * servers.length)]
    if (server) drawn.add(server)
  }
  return [...drawn]
}
