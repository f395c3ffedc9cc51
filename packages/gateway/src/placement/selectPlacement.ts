/**
 * Chooses the backend server of a request.
 *
 * Answers two load patterns. Long shared prompts: a server that has read the shared part
 * before needs a fraction of the time, so equal prompts go to the same server, found by
 * rendezvous hashing without any exchange. Bursts and hot keys: that server's queue is
 * weighed against reading the shared part again elsewhere, so a popular prompt spreads.
 */
import { hash32, type Random } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'
import type { ServerLoad } from './serverLoad.js'

/** Delay that one request in progress adds to another, in milliseconds. */
const RUNNING_MS = 3

/** Delay of a hop to another availability zone and back, in milliseconds. */
const CROSS_ZONE_MS = 4

/**
 * Weight of reading a prompt beside waiting for others: reading again what another server
 * keeps takes time from all. Flat from two to six in virtual time, with engines full.
 */
const READING_WEIGHT = 3

/** Servers that are looked at beside the homes: nodes with the same reports don't choose alike. */
const LOOKED_AT = 4

/** Random part of a score, so that nodes with the same reports don't choose alike. */
const JITTER_MS = 2

/**
 * Chance that the servers where equal prompts go have not read a shared part yet: first
 * the home of the prompt, then the one that takes what its home can't.
 */
const HOME_UNREAD = 0.25
const SECOND_HOME_UNREAD = 0.6

export interface PlacementRequest {
  /** What equal requests share; `undefined` for requests without a prompt. */
  readonly affinityKey: string | undefined
  /** Tokens of the shared parts. */
  readonly sharedTokens: number
  /** Tokens that only this request has. */
  readonly uniqueTokens: number
  /** Time that reading one token takes, in milliseconds, by how many are before it. */
  readonly prefillMsPerToken: (before: number) => number
  readonly zone: string
  /** Whether this process has had the shared parts read by a server. */
  readonly hasCachedPrefix: (serverId: string) => boolean
}

export interface Placement {
  readonly server: BackendServer
  /** Expected time until the first byte of the answer, in milliseconds. */
  readonly expectedMs: number
  /** Prompt tokens that the server is expected to read. */
  readonly prefillTokens: number
  /** Tokens before each of them, on the mean. */
  readonly meanPrecedingTokens: number
  /** Time that reading them takes, in milliseconds. */
  readonly prefillMs: number
}

/**
 * The server with the earliest expected answer, reading prompts weighed above waiting;
 * `undefined` if there is none.
 *
 * @example
 * choosePlace(servers, request, (id) => board.total(id), random)?.server.id
 */
export function selectPlacement(
  servers: readonly BackendServer[],
  req: PlacementRequest,
  loadOf: (serverId: string) => ServerLoad,
  random: Random,
): Placement | undefined {
  const homes = homeServers(servers, req.affinityKey)
  let best: Placement | undefined
  let bestScore = Number.POSITIVE_INFINITY
  for (const server of lookedAt(servers, homes, random)) {
    const place = placeAt(server, homes, req, loadOf(server.id))
    const extraMs = place.prefillMs * (READING_WEIGHT - 1)
    const score = place.expectedMs + extraMs + random() * JITTER_MS
    if (score >= bestScore) continue
    bestScore = score
    best = place
  }
  return best
}

/** The homes and some others at random. */
function lookedAt(
  servers: readonly BackendServer[],
  homes: Homes,
  random: Random,
): readonly BackendServer[] {
  if (servers.length <= LOOKED_AT + homes.length) return servers
  const chosen = new Set(homes.filter((home) => home !== undefined))
  const size = chosen.size + LOOKED_AT
  while (chosen.size < size) {
    const server = servers[Math.floor(random() * servers.length)]
    if (server) chosen.add(server)
  }
  return [...chosen]
}

function placeAt(
  server: BackendServer,
  homes: Homes,
  req: PlacementRequest,
  load: ServerLoad,
): Placement {
  const unreadPart = req.hasCachedPrefix(server.id) ? 0 : unreadChance(server, homes)
  const tokensToRead = req.uniqueTokens + unreadPart * req.sharedTokens
  const tokensBefore = req.sharedTokens + req.uniqueTokens - tokensToRead / 2
  const readingMs = tokensToRead * req.prefillMsPerToken(tokensBefore)
  const expectedMs =
    load.waitingMs +
    readingMs +
    load.running * RUNNING_MS +
    (server.zone === req.zone ? 0 : CROSS_ZONE_MS)
  return {
    server,
    expectedMs,
    prefillTokens: tokensToRead,
    meanPrecedingTokens: tokensBefore,
    prefillMs: readingMs,
  }
}

/** Chance that a server has to read a shared part. */
function unreadChance(server: BackendServer, [home, second]: Homes): number {
  if (server === home) return HOME_UNREAD
  return server === second ? SECOND_HOME_UNREAD : 1
}

type Homes = readonly [BackendServer | undefined, BackendServer | undefined]

/** The servers whose memory keeps the shared part, by rendezvous hashing. */
function homeServers(servers: readonly BackendServer[], key: string | undefined): Homes {
  if (key === undefined) return [undefined, undefined]
  let home: BackendServer | undefined
  let second: BackendServer | undefined
  let highest = -1
  let next = -1
  for (const server of servers) {
    const weight = hash32(`${server.id} ${key}`)
    if (weight > highest) {
      ;[second, next] = [home, highest]
      ;[home, highest] = [server, weight]
    } else if (weight > next) [second, next] = [server, weight]
  }
  return [home, second]
}
