/** Estimates how long this machine's link is occupied by updates for other instances. */
import type { Clock } from '@wagtailway/core'

/**
 * Backlog from which other instances are asked to pull elsewhere, in milliseconds. The
 * update that exceeds it is still sent.
 */
const MAX_BACKLOG_MS = 150

const BITS_PER_BYTE = 8

const BITS_PER_MS_PER_MBPS = 1_000

/**
 * Time that a transfer occupies a link of `linkMbps` megabits per second, in milliseconds.
 *
 * @example
 * transferTimeMs(90_000, 10) // 72
 */
export function transferTimeMs(bytes: number, linkMbps: number): number {
  return (bytes * BITS_PER_BYTE) / (linkMbps * BITS_PER_MS_PER_MBPS)
}

export interface LinkBacklogOptions {
  readonly clock: Clock
  /** Bandwidth of the link, in megabits per second. */
  readonly linkMbps: number
}

/**
 * Limits the updates that are sent at the same time, so that each of them completes soon
 * and its receiver can serve others.
 *
 * @example
 * const backlog = LinkBacklog.create({ clock, linkMbps: 10 })
 * backlog.tryReserve(90_000) // 72: the link is free again in 72 ms
 */
export class LinkBacklog {
  #busyUntilMs = 0

  private constructor(private readonly opts: LinkBacklogOptions) {}

  static create(opts: LinkBacklogOptions): LinkBacklog {
    return new LinkBacklog(opts)
  }

  /**
   * Reserves the link for an update. Returns the time until it has been sent, in
   * milliseconds, or `undefined` if the link is occupied for too long already.
   */
  tryReserve(bytes: number): number | undefined {
    const nowMs = this.opts.clock()
    const backlogMs = Math.max(0, this.#busyUntilMs - nowMs)
    if (backlogMs > MAX_BACKLOG_MS) return undefined
    this.#busyUntilMs = nowMs + backlogMs + transferTimeMs(bytes, this.opts.linkMbps)
    return this.#busyUntilMs - nowMs
  }
}
