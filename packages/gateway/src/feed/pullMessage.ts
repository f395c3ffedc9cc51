/** Reads what another entry instance answers to a pull. */
import {
  MAX_AMOUNT,
  UnreadableValueError,
  readList,
  readNumber,
  readOptional,
  readOrdinal,
  readText,
} from '../peers/wireValues.js'
import type { FeedEvent, FeedMark, FeedUpdate } from './feedState.js'

/**
 * Reads an update; throws if it is none. Objects are left as they are.
 *
 * @example
 * feed.applyUpdate(readUpdate(body), after, sentAtMs, { host })
 */
export function readUpdate(body: unknown): FeedUpdate<unknown> {
  const { mark, isWhole, events } = readFields(body)
  if (typeof isWhole !== 'boolean') throw new UnreadableValueError('expected a flag')
  return { mark: readMark(mark), isWhole, events: readList(events).map(readEvent) }
}

/**
 * Reads the hosts of instances that have the update; throws if it is no list of them.
 *
 * @example
 * readHolders({ holders: ['10.1.0.40'] }) // ['10.1.0.40']
 */
export function readHolders(body: unknown): readonly string[] {
  return readList(readFields(body)['holders']).map(readText)
}

function readMark(value: unknown): FeedMark {
  const { kind, era, changedAt, asOf, ageMs, hops } = readFields(value)
  return {
    kind: readText(kind),
    era: readOptional(era, readUint32),
    changedAt: readOrdinal(changedAt),
    asOf: readOrdinal(asOf),
    ageMs: readNumber(ageMs, MAX_AMOUNT),
    hops: readOptional(hops, readUint32),
  }
}

function readEvent(value: unknown): FeedEvent<unknown> {
  const { name, object } = readFields(value)
  return {
    name: readText(name),
    object: object === undefined ? undefined : readFields(object),
  }
}

function readUint32(value: unknown): number {
  return readOrdinal(value, MAX_AMOUNT)
}

function readFields(value: unknown): Readonly<Record<string, unknown>> {
  if (typeof value === 'object' && value !== null && !Array.isArray(value))
    return value as Readonly<Record<string, unknown>>
  throw new UnreadableValueError('expected an object')
}
