/** Messages between entry instances about permits of rate-limited backend servers. */
import type { PermitGrant } from '../limits/permitIssuer.js'
import type { RemoteAsk } from '../limits/serverLimiter.js'
import { LOWEST_URGENCY } from '../model/urgency.js'
import {
  MAX_AMOUNT,
  readAmount,
  readList,
  readNumber,
  readOrdinal,
  readText,
} from './wireValues.js'

/** First elements of the messages; that of a report is a name. */
const ASK = 1
const GRANT = 2

/** Begin of the text of all messages. */
const MESSAGE_START = /^\[[12],/

export type PermitMessage =
  | { readonly type: 'ask'; readonly asker: string; readonly ask: RemoteAsk }
  | { readonly type: 'grant'; readonly id: number; readonly grant: PermitGrant }

type WireAsk = [
  kind: typeof ASK,
  asker: string,
  id: number,
  incarnation: string,
  requestsPerS: number,
  ageMs: number,
  count: number,
  urgency: number,
]

type WireGrant = [kind: typeof GRANT, id: number, count: number, retryAfterMs: number]

/**
 * Encodes a message for one datagram.
 *
 * @example
 * socket.send(encodePermitMessage({ type: 'grant', id, grant }), port, host)
 */
export function encodePermitMessage(message: PermitMessage): Buffer {
  if (message.type === 'grant') {
    const { id, grant } = message
    const wire: WireGrant = [GRANT, id, grant.count, Math.ceil(grant.retryAfterMs)]
    return Buffer.from(JSON.stringify(wire))
  }
  const { asker, ask } = message
  const { id, incarnation, requestsPerS, ageMs, count, urgency } = ask
  const wire: WireAsk = [
    ASK,
    asker,
    id,
    incarnation,
    requestsPerS,
    Math.round(ageMs),
    count,
    urgency,
  ]
  return Buffer.from(JSON.stringify(wire))
}

/**
 * Decodes a datagram; `undefined` if it is another message.
 *
 * @example
 * const message = decodePermitMessage(datagram)
 */
export function decodePermitMessage(datagram: Buffer): PermitMessage | undefined {
  if (!MESSAGE_START.test(datagram.toString('latin1', 0, 3))) return undefined
  try {
    const [kind, ...fields] = readList(JSON.parse(datagram.toString()))
    return kind === GRANT ? readGrant(fields) : readAsk(fields)
  } catch {
    // Any data may arrive on an open port; the calling code counts undecodable datagrams.
    return undefined
  }
}

function readGrant(fields: readonly unknown[]): PermitMessage | undefined {
  if (fields.length !== 3 || !fields.every(isNonNegative)) return undefined
  const [id, count, retryAfterMs] = fields
  return {
    type: 'grant',
    id: readOrdinal(id),
    grant: { count: readAmount(count), retryAfterMs: readAmount(retryAfterMs) },
  }
}

function readAsk(fields: readonly unknown[]): PermitMessage | undefined {
  const [asker, id, incarnation, ...numbers] = fields
  if (numbers.length !== 4 || !numbers.every(isNonNegative)) return undefined
  const [requestsPerS, ageMs, count, urgency] = numbers
  return {
    type: 'ask',
    asker: readText(asker),
    ask: {
      id: readOrdinal(id),
      incarnation: readText(incarnation),
      requestsPerS: readNumber(requestsPerS, MAX_AMOUNT),
      ageMs: readAmount(ageMs),
      count: readAmount(count),
      urgency: readAmount(urgency, LOWEST_URGENCY),
    },
  }
}

function isNonNegative(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0
}
