/**
 * Reads values out of the messages of other entry instances, which may be of another build or no
 * messages at all.
 */

/** Largest count, wait or age that is kept; a larger one counts as this, without a fraction. */
export const MAX_AMOUNT = 4_294_967_295

/** A message holds a value that it must not hold. */
export class UnreadableValueError extends Error {}

/**
 * Reads a text.
 *
 * @example
 * readText('n2') // 'n2'
 */
export function readText(value: unknown): string {
  if (typeof value === 'string') return value
  throw new UnreadableValueError('expected a text')
}

/**
 * Reads a list.
 *
 * @example
 * readList(['a', 'b']).map(readText)
 */
export function readList(value: unknown): readonly unknown[] {
  if (Array.isArray(value)) return value
  throw new UnreadableValueError('expected a list')
}

/**
 * Reads a number and keeps it within bounds.
 *
 * @example
 * readNumber(0.25, 10) // 0.25
 * readNumber(-3, 10) // 0
 */
export function readNumber(value: unknown, max: number): number {
  if (typeof value !== 'number' || Number.isNaN(value))
    throw new UnreadableValueError('expected a number')
  return Math.min(max, Math.max(0, value))
}

/**
 * Reads a count, wait or age and keeps it within bounds.
 *
 * @example
 * readAmount(12.7) // 12
 */
export function readAmount(value: unknown, max = MAX_AMOUNT): number {
  return Math.floor(readNumber(value, max))
}

/**
 * Reads a number that is compared with others of its kind, such as a revision: any other than the
 * one that was sent would be wrong.
 *
 * @example
 * readOrdinal(530) // 530
 */
export function readOrdinal(
  value: unknown,
  max: number = Number.MAX_SAFE_INTEGER,
): number {
  if (Number.isSafeInteger(value) && Number(value) >= 0 && Number(value) <= max)
    return Number(value)
  throw new UnreadableValueError('expected a whole number')
}

/**
 * Reads a value that may be absent.
 *
 * @example
 * readOptional(null, readText) // undefined
 */
export function readOptional<T>(
  value: unknown,
  read: (value: unknown) => T,
): T | undefined {
  return value === undefined || value === null ? undefined : read(value)
}
