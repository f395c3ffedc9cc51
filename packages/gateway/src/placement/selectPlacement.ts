/**
 * Selects the backend server for a request by load, prefix cache and prefill time.
 *
 * Handles two load patterns. Long shared prompts: prefill takes a fraction of the time on
 * a server whose prefix cache holds the shared prefix, so requests with the same prefix go
 * to the same server. Rendezvous hashing finds it without coordination between entry
 * instances. Bursts and hot keys: the wait in that server's queue is compared with the
 * time to prefill the shared prefix on another server, so a popular prompt spreads.
 */
import { hash32, type Random } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import { selectEvenly } from './selectEvenly.js'
import { expectedWaitMs, type ServerLoad } from './serverLoad.js'

/** Delay that each request in progress on a server adds to a new one, in milliseconds. */
const MS_PER_RUNNING_REQUEST = 3

/** Round-trip delay to a server in another availability zone, in milliseconds. */
const CROSS_ZONE_MS = 4

/**
 * Weight of prefill time relative to time in the queue. Above one, because prefilling a
 * prefix that another server has cached takes capacity from all requests.
 */
const PREFILL_WEIGHT = 3

/**
 * Randomly drawn servers that are compared with the preferred ones. Random, so that entry
 * instances with the same load reports don't all select the same server.
 */
const RANDOM_CANDIDATES = 4

/**
 * Upper bound of the jitter added to a score, in milliseconds. Keeps entry instances with
 * the same load reports from all selecting the same server.
 */
const JITTER_MS = 2

/**
 * Probability of a prefix cache miss on the first preferred server of a prompt, and on the
 * second one, which gets requests while the first one's queue is long.
 */
const FIRST_SERVER_MISS_CHANCE = 0.25
const SECOND_SERVER_MISS_CHANCE = 0.6

export interface PlacementRequest {
  /** Same for requests that share a prefix; `undefined` if the request shares none. */
  readonly affinityKey: string | undefined
  /** Tokens of the prefix that is shared with other requests. */
  readonly sharedTokens: number
  /** Prompt tokens after the shared prefix, which only this request has. */
  readonly uniqueTokens: number
  /** Prefill time of one token in milliseconds, given the number of tokens before it. */
  readonly prefillMsPerToken: (precedingTokens: number) => number
  /** Urgency for the server, given the expected prefill time: 0 is served first. */
  readonly urgencyOf: (prefillMs: number) => number
  /** Whether the known loads are older than short requests take. */
  readonly hasOldLoads: boolean
  readonly zone: string
  /** Whether this process recently had a server prefill the shared prefix. */
  readonly hasCachedPrefix: (serverId: string) => boolean
  /** Whether a server is cold, so that it is preferred for no prompt while others are warm. */
  readonly isCold?: (server: BackendServer) => boolean
}

export interface Placement {
  readonly server: BackendServer
  /** Expected time to the first byte of the response, in milliseconds. */
  readonly expectedFirstByteMs: number
  /** Prompt tokens that the server is expected to prefill. */
  readonly prefillTokens: number
  /** Mean number of prompt tokens before each of the prefilled ones. */
  readonly meanPrecedingTokens: number
  /** Expected time to prefill those tokens, in milliseconds. */
  readonly prefillMs: number
  /** Urgency for the server, from 0, the most urgent. */
  readonly urgency: number
}

/**
 * Selects the server with the shortest expected time to first byte, in which prefill time
 * weighs more than time in the queue; requests without a prompt are spread evenly if the
 * known loads are old. Returns `undefined` if there are no servers.
 *
 * @example
 * selectPlacement(servers, request, (id) => loads.total(id), random)?.server.id
 */
export function selectPlacement(
  servers: readonly BackendServer[],
  req: PlacementRequest,
  loadOf: (serverId: string) => ServerLoad,
  random: Random,
): Placement | undefined {
  const warm = req.isCold ? servers.filter((server) => !req.isCold?.(server)) : servers
  const preferred = preferredServers(warm.length > 0 ? warm : servers, req.affinityKey)
  if (req.hasOldLoads && req.sharedTokens + req.uniqueTokens === 0) {
    const server = selectEvenly(servers, (id) => loadOf(id).running, random)
    return server && estimatePlacement(server, preferred, req, loadOf(server.id))
  }
  let best: Placement | undefined
  let bestScore = Number.POSITIVE_INFINITY
  for (const server of candidateServers(servers, preferred, random)) {
    const placement = estimatePlacement(server, preferred, req, loadOf(server.id))
    const extraMs = placement.prefillMs * (PREFILL_WEIGHT - 1)
    const score = placement.expectedFirstByteMs + extraMs + random() * JITTER_MS
    if (score >= bestScore) continue
    bestScore = score
    best = placement
  }
  return best
}

/** The preferred servers and some random others. */
function candidateServers(
  servers: readonly BackendServer[],
  preferred: PreferredServers,
  random: Random,
): readonly BackendServer[] {
  if (servers.length <= RANDOM_CANDIDATES + preferred.length) return servers
  const candidates = new Set(preferred.filter((candidate) => candidate !== undefined))
  const candidateCount = candidates.size + RANDOM_CANDIDATES
  while (candidates.size < candidateCount) {
    const server = servers[Math.floor(random() * servers.length)]
    if (server) candidates.add(server)
  }
  return [...candidates]
}

function estimatePlacement(
  server: BackendServer,
  preferred: PreferredServers,
  req: PlacementRequest,
  load: ServerLoad,
): Placement {
  const missChance =
    req.hasCachedPrefix(server.id) && !req.isCold?.(server)
      ? 0
      : prefixMissChance(server, preferred)
  const prefillTokens = req.uniqueTokens + missChance * req.sharedTokens
  const meanPrecedingTokens = req.sharedTokens + req.uniqueTokens - prefillTokens / 2
  const prefillMs = prefillTokens * req.prefillMsPerToken(meanPrecedingTokens)
  const urgency = req.urgencyOf(prefillMs)
  const expectedFirstByteMs =
    expectedWaitMs(load, urgency) +
    prefillMs +
    load.running * MS_PER_RUNNING_REQUEST +
    (server.zone === req.zone ? 0 : CROSS_ZONE_MS)
  return {
    server,
    expectedFirstByteMs,
    prefillTokens,
    meanPrecedingTokens,
    prefillMs,
    urgency,
  }
}

/** Probability that a server has to prefill the shared prefix. */
function prefixMissChance(
  server: BackendServer,
  [first, second]: PreferredServers,
): number {
  if (server === first) return FIRST_SERVER_MISS_CHANCE
  return server === second ? SECOND_SERVER_MISS_CHANCE : 1
}

type PreferredServers = readonly [BackendServer | undefined, BackendServer | undefined]

/** The two servers that rendezvous hashing ranks highest for an affinity key. */
function preferredServers(
  servers: readonly BackendServer[],
  key: string | undefined,
): PreferredServers {
  if (key === undefined) return [undefined, undefined]
  let first: BackendServer | undefined
  let second: BackendServer | undefined
  let firstWeight = -1
  let secondWeight = -1
  for (const server of servers) {
    const weight = hash32(`${server.id} ${key}`)
    if (weight > firstWeight) {
      ;[second, secondWeight] = [first, firstWeight]
      ;[first, firstWeight] = [server, weight]
    } else if (weight > secondWeight) [second, secondWeight] = [server, weight]
  }
  return [first, second]
}
