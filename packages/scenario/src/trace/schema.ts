/** Traces of callers' requests: one JSON object a line. */
import { Err, Ok, type Result } from '@wagtailway/core'
import { z } from 'zod'

export const traceEntrySchema = z.strictObject({
  /** Time since the start of the trace, in milliseconds. */
  atMs: z.number().nonnegative(),
  /** `workspace/class`. */
  class: z.string().regex(/^[^/]+\/[^/]+$/, 'write workspace/class'),
  stream: z.boolean().default(false),
  /** Plain service that was called in place of a completion. */
  service: z.string().optional(),
  /** Requests with the same session belong together. */
  session: z.string().optional(),
  nonIdempotent: z.boolean().default(false),
  /** Times that the caller sent the request again until it had an answer, at most. */
  retries: z.number().int().nonnegative().default(0),
  /** Routers to which the caller sent the request at once. */
  copies: z.number().int().positive().default(1),
  deadlineMs: z.number().positive().optional(),
  leaveAfterMs: z.number().positive().optional(),
})

export type TraceEntry = z.infer<typeof traceEntrySchema>

/** A line of a trace that can't be read. */
export interface TraceFinding {
  readonly line: number
  readonly message: string
}

/**
 * Reads a trace; every bad line is reported.
 *
 * @example
 * const trace = parseTrace('{"atMs":0,"class":"panel/dossier"}')
 */
export function parseTrace(text: string): Result<TraceEntry[], TraceFinding[]> {
  const entries: TraceEntry[] = []
  const findings: TraceFinding[] = []
  for (const [i, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue
    const parsed = traceEntrySchema.safeParse(parseJson(line))
    if (parsed.success) entries.push(parsed.data)
    else {
      const message = parsed.error.issues
        .map((issue) => `${issue.path.map(String).join('.')}: ${issue.message}`)
        .join('; ')
      findings.push({ line: i + 1, message })
    }
  }
  return findings.length > 0 ? Err(findings) : Ok(entries)
}

/**
 * Text of a trace.
 *
 * @example
 * formatTrace([{ atMs: 0, class: 'panel/dossier', stream: true }])
 */
export function formatTrace(entries: readonly TraceEntry[]): string {
  return entries.map((entry) => `${JSON.stringify(entry)}\n`).join('')
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}
