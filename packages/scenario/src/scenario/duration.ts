/** Durations in scenario files. */
import { z } from 'zod'

const MS_BY_UNIT = { ms: 1, s: 1_000, m: 60_000 } as const

const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m)$/

/** A duration such as `250ms`, `2s` or `1m`; parses to milliseconds. */
export const durationSchema = z
  .string()
  .regex(DURATION, 'write a duration such as 250ms, 2s or 1m')
  .transform(parseDuration)

/**
 * Converts a duration to milliseconds; returns 0 if the text is not a duration.
 *
 * @example
 * parseDuration('1.5s') // 1500
 */
export function parseDuration(text: string): number {
  const match = DURATION.exec(text)
  const unit = match?.[2] as keyof typeof MS_BY_UNIT | undefined
  return unit === undefined ? 0 : Number(match?.[1]) * MS_BY_UNIT[unit]
}
