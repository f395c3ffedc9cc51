/** Hands feeds from entry instance to entry instance. */
import { Agent } from 'node:http'
import type { Clock } from '@wagtailway/core'
import { PlainServer } from '../http/plainServer.js'
import { requestJson } from '../http/requestJson.js'
import type { ListenAddress } from '../http/callerServer.js'
import type { FeedMark, FeedNews, FeedState } from './feedState.js'

/** Deadline of one pull, in milliseconds; another instance is asked after. */
const PULL_TIMEOUT_MS = 600

/** Largest news that are read, in bytes; a whole configuration has some hundred kilobytes. */
const MAX_NEWS_BYTES = 8_388_608

const PATH = /^\/feed\/([^/?]+)\?after=(\d+)$/

export interface FeedExchangeOptions {
  readonly address: ListenAddress
  readonly clock: Clock
  readonly feeds: readonly FeedState<unknown>[]
  readonly onFault: (detail: string) => void
}

/**
 * Serves this instance's feeds and pulls from those that are ahead.
 *
 * @example
 * const exchange = await FeedExchange.create(options)
 * exchange.heard(report.feeds, { host, port })
 */
export class FeedExchange {
  readonly #agent = new Agent({ keepAlive: true, timeout: 10_000 })
  readonly #pulling = new Set<string>()
  readonly #feeds: ReadonlyMap<string, FeedState<unknown>>

  private constructor(
    private readonly opts: FeedExchangeOptions,
    private readonly server: PlainServer,
  ) {
    this.#feeds = new Map(opts.feeds.map((feed) => [feed.kind, feed]))
  }

  static async create(opts: FeedExchangeOptions): Promise<FeedExchange> {
    const feeds = new Map(opts.feeds.map((feed) => [feed.kind, feed]))
    const server = await PlainServer.create(opts.address, (path) => {
      const [, kind = '', after = ''] = PATH.exec(path) ?? []
      const feed = feeds.get(kind)
      if (!feed?.isKnown) return { status: 404, text: '' }
      const text = JSON.stringify(feed.since(Number(after)))
      return { status: 200, contentType: 'application/json', text }
    })
    return new FeedExchange(opts, server)
  }

  /** Marks of all feeds that are known, for the report to others. */
  get marks(): FeedMark[] {
    return this.opts.feeds.filter(({ isKnown }) => isKnown).map(({ mark }) => mark)
  }

  /** Takes in another instance's marks and pulls what it has and this one lacks. */
  heard(marks: readonly FeedMark[], from: ListenAddress): void {
    for (const mark of marks) {
      const feed = this.#feeds.get(mark.kind)
      if (feed?.hear(mark) === 'behind') void this.#pull(feed, from.host)
    }
  }

  close(): void {
    this.server.close()
    this.#agent.destroy()
  }

  async #pull(feed: FeedState<unknown>, host: string): Promise<void> {
    if (this.#pulling.has(feed.kind)) return
    this.#pulling.add(feed.kind)
    const sentAtMs = this.opts.clock()
    const after = feed.asOf
    try {
      const res = await requestJson({
        method: 'GET',
        url: `http://${host}:${this.opts.address.port}/feed/${feed.kind}?after=${after}`,
        timeoutMs: PULL_TIMEOUT_MS,
        agent: this.#agent,
        maxBytes: MAX_NEWS_BYTES,
      })
      if (res.status !== 200) throw new Error(`status ${res.status}`)
      feed.takeNews(res.body as FeedNews<unknown>, after, sentAtMs)
    } catch (err) {
      this.opts.onFault(`pull failed: ${String(err)}`)
    } finally {
      this.#pulling.delete(feed.kind)
    }
  }
}
