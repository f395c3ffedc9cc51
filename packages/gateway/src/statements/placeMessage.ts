/** Messages between entry instances about places of brittle backend servers. */
import { readAmount, readList, readOrdinal, readText } from '../peers/wireValues.js'
import type { PlaceMessage } from './placeLimiter.js'

/** First elements of the messages; that of a report is a name. */
const USE = 3
const ANSWER = 4

/** Id on the wire in a message that asks for nothing. */
const NO_ASK = -1

/** Begin of the text of all messages. */
const MESSAGE_START = /^\[[34],/

export type PlaceDatagram =
  | { readonly type: 'use'; readonly sender: string; readonly message: PlaceMessage }
  | { readonly type: 'answer'; readonly askId: number; readonly granted: boolean }

/**
 * Encodes a message for one datagram.
 *
 * @example
 * socket.send(encodePlaceDatagram({ type: 'answer', askId: 7, granted: true }), port, host)
 */
export function encodePlaceDatagram(datagram: PlaceDatagram): Buffer {
  if (datagram.type === 'answer')
    return Buffer.from(JSON.stringify([ANSWER, datagram.askId, datagram.granted ? 1 : 0]))
  const { sender, message } = datagram
  const { incarnation, running, slots, refusals, askId = NO_ASK, isDeputy } = message
  const { resolvedAskId, sequence } = message
  const numbers = [running, slots, refusals, askId, isDeputy ? 1 : 0]
  numbers.push(resolvedAskId, sequence)
  return Buffer.from(JSON.stringify([USE, sender, incarnation, ...numbers]))
}

/**
 * Decodes a datagram; `undefined` if it is another message.
 *
 * @example
 * const datagram = decodePlaceDatagram(bytes)
 */
export function decodePlaceDatagram(bytes: Buffer): PlaceDatagram | undefined {
  if (!MESSAGE_START.test(bytes.toString('latin1', 0, 3))) return undefined
  try {
    const [kind, ...fields] = readList(JSON.parse(bytes.toString()))
    return kind === ANSWER ? readAnswer(fields) : readUse(fields)
  } catch {
    // Any data may arrive on an open port; the calling code counts undecodable datagrams.
    return undefined
  }
}

function readAnswer([askId, granted]: readonly unknown[]): PlaceDatagram {
  return { type: 'answer', askId: readOrdinal(askId), granted: granted === 1 }
}

function readUse(fields: readonly unknown[]): PlaceDatagram | undefined {
  const [sender, incarnation, running, slots, refusals, askId, ...rest] = fields
  const [isDeputy, resolvedAskId, sequence] = rest
  if (rest.length !== 3) return undefined
  const message = {
    incarnation: readText(incarnation),
    running: readAmount(running),
    slots: Math.max(1, readAmount(slots)),
    refusals: readAmount(refusals),
    askId: askId === NO_ASK ? undefined : readOrdinal(askId),
    isDeputy: isDeputy === 1,
    resolvedAskId: readOrdinal(resolvedAskId),
    sequence: readOrdinal(sequence),
  }
  return { type: 'use', sender: readText(sender), message }
}
