/** Binds a socket, and tries again while its address can't be had. */
import type { Clock } from '../clock.js'

/** Pause before the second attempt, in milliseconds; it doubles with each attempt. */
const FIRST_PAUSE_MS = 50

/**
 * Errors after which another attempt may succeed: another process holds the port, or the
 * machine's address isn't configured yet.
 */
const TEMPORARY_CODES: readonly string[] = ['EADDRINUSE', 'EADDRNOTAVAIL']

export interface BindRetryOptions {
  readonly clock: Clock
  /** Resolves after `ms` milliseconds, or earlier once the wait has been ended. */
  readonly sleep: (ms: number) => Promise<unknown>
  /** Makes one attempt; rejects with the error of the system. */
  readonly bind: () => Promise<void>
  /** @default `isTemporaryBindError` */
  readonly mayRetry?: (code: string) => boolean
  /** When the last attempt is made, by the clock. */
  readonly deadlineMs: number
  /** Longest pause between two attempts, in milliseconds. */
  readonly maxPauseMs: number
  /** Called after each failed attempt that may be followed by another one. */
  readonly onFailedAttempt: (code: string, waitedMs: number) => void
  /** Whether the socket is not needed any more. */
  readonly isStopped: () => boolean
}

/** How the attempts ended, and how long they took in milliseconds. */
export type BindResult =
  | { readonly type: 'bound' | 'stopped'; readonly waitedMs: number }
  | { readonly type: 'failed'; readonly waitedMs: number; readonly code: string }

/**
 * Tries to bind a socket until it succeeds, the deadline passes or an error is permanent.
 * The first attempt is made in any case. Never rejects.
 *
 * @example
 * const result = await bindWithRetry({ clock, sleep, bind, deadlineMs, ...options })
 * if (result.type === 'failed') console.error(result.code)
 */
export async function bindWithRetry(opts: BindRetryOptions): Promise<BindResult> {
  const { clock, sleep, deadlineMs, maxPauseMs } = opts
  const mayRetry = opts.mayRetry ?? isTemporaryBindError
  const startMs = clock()
  for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(2 * pauseMs, maxPauseMs)) {
    const code = await tryBind(opts.bind)
    const nowMs = clock()
    const waitedMs = Math.round(nowMs - startMs)
    if (code === undefined) return { type: 'bound', waitedMs }
    if (opts.isStopped()) return { type: 'stopped', waitedMs }
    if (!mayRetry(code) || nowMs >= deadlineMs) return { type: 'failed', waitedMs, code }
    opts.onFailedAttempt(code, waitedMs)
    await sleep(Math.min(pauseMs, deadlineMs - nowMs))
    if (opts.isStopped())
      return { type: 'stopped', waitedMs: Math.round(clock() - startMs) }
  }
}

/** Whether another attempt to bind a socket may succeed after this error. */
export function isTemporaryBindError(code: string): boolean {
  return TEMPORARY_CODES.includes(code)
}

async function tryBind(bind: () => Promise<void>): Promise<string | undefined> {
  try {
    await bind()
    return undefined
  } catch (err) {
    return (err as NodeJS.ErrnoException).code ?? String(err)
  }
}
