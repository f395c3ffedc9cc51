/** Decides from which entry instance an update is pulled, and when. */
import type { Clock } from '@wagtailway/core'
import type { FeedMark, FeedState, FeedUpdate } from './feedState.js'

/** A pull that failed, for logs and metrics. */
export interface FailedPull {
  readonly kind: string
  readonly host: string
  /** Revision that this instance had reached. */
  readonly after: number
  readonly tookMs: number
  readonly detail: string
}

export interface FeedPullerOptions {
  readonly clock: Clock
  readonly feeds: readonly FeedState<unknown>[]
  /** Requests what an instance knows after a revision; rejects if it has no update. */
  readonly pull: (
    host: string,
    kind: string,
    after: number,
  ) => Promise<FeedUpdate<unknown>>
  readonly onPulled: (kind: string) => void
  readonly onFailed: (failed: FailedPull) => void
}

/**
 * Pulls the feeds in which this instance is behind, at most one update of each at a time.
 *
 * @example
 * const puller = FeedPuller.create(options)
 * puller.applyMarks(report.feedMarks, '10.1.0.40')
 */
export class FeedPuller {
  readonly #kindsBeingPulled = new Set<string>()
  readonly #feeds: ReadonlyMap<string, FeedState<unknown>>

  private constructor(private readonly opts: FeedPullerOptions) {
    this.#feeds = new Map(opts.feeds.map((feed) => [feed.kind, feed]))
  }

  static create(opts: FeedPullerOptions): FeedPuller {
    return new FeedPuller(opts)
  }

  /**
   * Applies the marks of another instance and pulls the feeds in which this instance is
   * behind.
   */
  applyMarks(marks: readonly FeedMark[], host: string): void {
    for (const mark of marks) {
      const feed = this.#feeds.get(mark.kind)
      if (feed?.applyMark(mark) === 'behind') void this.#pull(feed, host)
    }
  }

  async #pull(feed: FeedState<unknown>, host: string): Promise<void> {
    const { kind } = feed
    if (this.#kindsBeingPulled.has(kind)) return
    this.#kindsBeingPulled.add(kind)
    const { clock, pull, onPulled, onFailed } = this.opts
    const sentAtMs = clock()
    const after = feed.asOf
    try {
      feed.applyUpdate(await pull(host, kind, after), after, sentAtMs, { host })
      onPulled(kind)
    } catch (err) {
      const tookMs = Math.round(clock() - sentAtMs)
      onFailed({ kind, host, after, tookMs, detail: String(err) })
    } finally {
      this.#kindsBeingPulled.delete(kind)
    }
  }
}
