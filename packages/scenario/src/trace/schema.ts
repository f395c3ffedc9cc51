/** Traces of callers' requests: one JSON object per line. */
import { Err, Ok, type Result } from '@wagtailway/core'
import { z } from 'zod'

export const traceEntrySchema = z.strictObject({
  /** Time since the start of the trace, in milliseconds. */
  atMs: z.number().nonnegative(),
  /** `workspace/class`. */
  class: z.string().regex(/^[^/]+\/[^/]+$/, 'write workspace/class'),
  stream: z.boolean().default(false),
  /** Plain service that was called instead of requesting a completion. */
  service: z.string().optional(),
  /** Session id; requests with the same id belong to one session. */
  session: z.string().optional(),
  nonIdempotent: z.boolean().default(false),
  /** Maximum number of retries by the caller until it had a complete response. */
  retries: z.number().int().nonnegative().default(0),
  /** Number of routers to which the caller sent the request concurrently. */
  copies: z.number().int().positive().default(1),
  deadlineMs: z.number().positive().optional(),
  leaveAfterMs: z.number().positive().optional(),
})

export type TraceEntry = z.infer<typeof traceEntrySchema>

/** An invalid line of a trace. */
export interface TraceFinding {
  readonly line: number
  readonly message: string
}

/**
 * Parses a trace; reports every invalid line.
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
 * Formats a trace as text.
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
