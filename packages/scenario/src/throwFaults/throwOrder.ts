/** What a program is told to throw, and what it records of it. */
import { z } from 'zod'

const whenSchema = z.enum(['before', 'after'])

/** Whether an error is thrown in place of a callback or after it. */
export type ThrowMoment = z.infer<typeof whenSchema>

export const throwOrderSchema = z.discriminatedUnion('mode', [
  z.object({ mode: z.literal('idle') }),
  z.object({
    mode: z.literal('seeded'),
    seed: z.number().int(),
    /** Mean number of calls of a place between two throws. */
    every: z.number().min(1),
    /** Shortest time between two throws of a process, in milliseconds. */
    pauseMs: z.number().min(0).default(0),
  }),
  z.object({
    mode: z.literal('place'),
    place: z.string(),
    /** Call since the order at which it throws, once; the first is 1. */
    call: z.number().int().min(1),
    when: whenSchema,
  }),
])

/** What to throw from now on. */
export type ThrowOrder = z.infer<typeof throwOrderSchema>

const thrownSchema = z.object({
  type: z.literal('throw'),
  pid: z.number(),
  /** In milliseconds of `Date.now()`. */
  atMs: z.number(),
  /** Number of the throw in its process. */
  sequence: z.number(),
  place: z.string(),
  when: whenSchema,
  /** Call of the place since the order. */
  call: z.number(),
})

/** One throw of a process. */
export type ThrowRecord = z.infer<typeof thrownSchema>

const callsSchema = z.object({
  type: z.literal('calls'),
  pid: z.number(),
  atMs: z.number(),
  /** Calls of each place since the record before; 0 if it was registered only. */
  calls: z.record(z.string(), z.number()),
})

/** Calls of a process during a period that ends at `atMs`. */
export type CallsRecord = z.infer<typeof callsSchema>

const recordSchema = z.discriminatedUnion('type', [thrownSchema, callsSchema])

export interface ThrowRecords {
  readonly throws: readonly ThrowRecord[]
  readonly calls: readonly CallsRecord[]
}

/**
 * Parses the file of records that a program has written; a last line that is not whole yet
 * is left out.
 *
 * @example
 * parseRecords(await readFile(path, 'utf8')).throws.length
 */
export function parseRecords(text: string): ThrowRecords {
  const records = text
    .split('\n')
    .slice(0, -1)
    .map((line) => recordSchema.parse(JSON.parse(line)))
  return {
    throws: records.filter((record) => record.type === 'throw'),
    calls: records.filter((record) => record.type === 'calls'),
  }
}
