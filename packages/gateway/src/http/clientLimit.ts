/** Limits that clients reach, and the fields of requests to the small servers. */
import type { IncomingMessage, Server } from 'node:http'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import type { SocketName } from '../sockets/sockets.js'

/** A limit that a client has reached. */
export type ClientLimit = 'connections' | 'header_fields' | 'header_memory' | 'pipelined'

/** Most header fields of a request to a small server, whose clients send few. */
export const MAX_HEADER_FIELDS = 256

/** Fields that the parser gives at a time; it must give more than allowed to show it. */
const PARSER_BATCH_FIELDS = 32

/**
 * Makes the parser of a server keep no more fields than it takes to refuse the request, also
 * of unfinished header sections and of trailers.
 *
 * @example
 * limitHeaderFields(server)
 * server.on('request', (req, res) => { if (hasTooManyFields(req)) res.writeHead(431).end() })
 */
export function limitHeaderFields(server: Server): void {
  server.maxHeadersCount = MAX_HEADER_FIELDS + PARSER_BATCH_FIELDS
}

/** Whether a request has more fields than allowed, so that some of them may be missing. */
export function hasTooManyFields({ rawHeaders }: IncomingMessage): boolean {
  return rawHeaders.length / 2 > MAX_HEADER_FIELDS
}

interface Observers {
  readonly log: Log
  readonly metrics: Pick<GatewayMetrics, 'clientLimits'>
}

/**
 * Returns a function that counts and logs the limits that clients of one socket reach.
 *
 * @example
 * const onLimit = recordClientLimit({ log, metrics }, 'readiness')
 * onLimit('connections', '10.1.0.40')
 */
export function recordClientLimit(
  { log, metrics }: Observers,
  socket: SocketName,
): (limit: ClientLimit, host: string, about?: Readonly<Record<string, unknown>>) => void {
  return (limit, host, about) => {
    metrics.clientLimits.inc({ socket, limit })
    log('client_limited', { socket, limit, host, ...about })
  }
}
