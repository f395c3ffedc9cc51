/**
 * Detects servers that have stopped sending data.
 *
 * Inactivity has two causes that look alike: a busy engine that has to prefill other
 * prompts first, and a server that failed without closing its connections. A server
 * that still accepts connections gets more time, because a retry would wait from the
 * start again.
 */
import type { ConnectionResult } from './probeConnection.js'
import { startTimer } from './timer.js'

/**
 * Additional wait for a server that accepts connections, as a multiple of the timeout.
 */
const BUSY_WAIT_FACTOR = 1.5

/**
 * Interval at which a silent server is offered for abandoning again after a refusal, in
 * milliseconds: the retry budget may have room a moment later.
 */
export const REFUSED_ABANDON_INTERVAL_MS = 250

export interface InactivityOptions {
  /** Checks whether the server can be reached. */
  readonly probe: () => Promise<ConnectionResult>
  /** Inactivity after which the server's reachability is checked, in milliseconds. */
  readonly inactivityMs: number
  /**
   * Called before the server is abandoned. If it returns false, `onInactive` is not
   * called, and it is called again every `REFUSED_ABANDON_INTERVAL_MS` until it returns
   * true, the server sends data or monitoring is cancelled.
   */
  readonly mayAbandon: () => boolean
  readonly onInactive: () => void
}

export interface InactivityMonitor {
  /** Records that data was received and restarts the timeout. */
  recordActivity(): void
  cancel(): void
}

/**
 * Calls `onInactive` once if the server stays inactive.
 *
 * @example
 * const monitor = monitorInactivity({ probe, inactivityMs, mayAbandon, onInactive })
 * monitor.recordActivity()
 * monitor.cancel()
 */
export function monitorInactivity(opts: InactivityOptions): InactivityMonitor {
  const { probe, inactivityMs, mayAbandon, onInactive } = opts
  let activityCount = 0
  let isStopped = false
  const abandon = (): void => {
    if (isStopped) return
    const countAtStart = activityCount
    if (mayAbandon()) {
      isStopped = true
      onInactive()
    } else if (countAtStart === activityCount) {
      timer = startTimer(REFUSED_ABANDON_INTERVAL_MS, abandon)
    }
  }
  const checkServer = async (): Promise<void> => {
    const countAtStart = activityCount
    const result = await probe()
    if (isStopped || countAtStart !== activityCount) return
    if (result === 'accepted')
      timer = startTimer(inactivityMs * BUSY_WAIT_FACTOR, abandon)
    else abandon()
  }
  let timer = startTimer(inactivityMs, () => void checkServer())
  return {
    recordActivity() {
      activityCount += 1
      timer.cancel()
      timer = startTimer(inactivityMs, () => void checkServer())
    },
    cancel() {
      isStopped = true
      timer.cancel()
    },
  }
}
