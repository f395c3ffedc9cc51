/**
 * Watches for servers that have fallen silent.
 *
 * Answers two patterns that look alike: an engine under load that has other prompts to
 * read first, and a server that is gone without a word. One that still takes connections
 * gets more time, for a request sent elsewhere would wait again from the start.
 */
import type { BackendServer } from '../model/backendServer.js'
import { canConnect } from './canConnect.js'
import { after } from './timer.js'

/** How much longer a silent server that takes connections is waited for. */
const BUSY_FACTOR = 1.5

export interface SilenceOptions {
  readonly server: BackendServer
  /** Silence after which the server is doubted, in milliseconds. */
  readonly silentMs: number
  /** Asked before a server is given up; false keeps on waiting. */
  readonly mayGiveUp: () => boolean
  readonly onSilent: () => void
}

export interface SilenceWatch {
  /** Notes a sign of life. */
  heard(): void
  cancel(): void
}

/**
 * Calls `onSilent` once if the server stays silent.
 *
 * @example
 * const watch = watchSilence({ server, silentMs: 1_600, mayGiveUp, onSilent })
 * watch.heard()
 * watch.cancel()
 */
export function watchSilence(opts: SilenceOptions): SilenceWatch {
  const { server, silentMs, mayGiveUp, onSilent } = opts
  let round = 0
  let isOver = false
  const giveUp = (): void => {
    if (isOver || !mayGiveUp()) return
    isOver = true
    onSilent()
  }
  const doubt = async (): Promise<void> => {
    const started = round
    const isThere = await canConnect(server.host, server.port)
    if (isOver || started !== round) return
    if (isThere) timer = after(silentMs * BUSY_FACTOR, giveUp)
    else giveUp()
  }
  let timer = after(silentMs, () => void doubt())
  return {
    heard() {
      round += 1
      timer.cancel()
      timer = after(silentMs, () => void doubt())
    },
    cancel() {
      isOver = true
      timer.cancel()
    },
  }
}
