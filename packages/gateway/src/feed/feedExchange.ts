/** Serves feeds to other entry instances and pulls theirs over HTTP. */
import { Agent } from 'node:http'
import type { Clock } from '@wagtailway/core'
import { PlainServer } from '../http/plainServer.js'
import { requestJson } from '../http/requestJson.js'
import type { ListenAddress } from '../http/callerServer.js'
import { FeedEncoder } from './feedCodec.js'
import { FeedPuller, type FeedPullerOptions } from './feedPuller.js'
import type { FeedMark, FeedUpdate, FeedState } from './feedState.js'

/**
 * Time without data after which a pull has failed, in milliseconds; the feed can then be
 * pulled from another instance.
 */
const PULL_TIMEOUT_MS = 600

/**
 * Largest update that is read, in bytes; a complete configuration has a few hundred
 * kilobytes.
 */
const MAX_UPDATE_BYTES = 8_388_608

const FEED_PATH = /^\/feed\/([^/?]+)\?after=(\d+)$/

export interface FeedExchangeOptions extends Pick<
  FeedPullerOptions,
  'onPulled' | 'onFailed'
> {
  readonly address: ListenAddress
  readonly clock: Clock
  readonly feeds: readonly FeedState<unknown>[]
}

/**
 * Serves the feeds of this instance and pulls updates from instances that are ahead.
 *
 * @example
 * const exchange = await FeedExchange.create(options)
 * exchange.applyMarks(report.feedMarks, { host, port })
 */
export class FeedExchange {
  readonly #agent = new Agent({ keepAlive: true, timeout: 10_000 })
  readonly #puller: FeedPuller

  private constructor(
    private readonly opts: FeedExchangeOptions,
    private readonly server: PlainServer,
  ) {
    this.#puller = FeedPuller.create({
      ...opts,
      pull: (host, kind, after) => this.#pull(host, kind, after),
    })
  }

  static async create(opts: FeedExchangeOptions): Promise<FeedExchange> {
    const served = new Map(
      opts.feeds.map((feed) => [feed.kind, { feed, encoder: FeedEncoder.create() }]),
    )
    const server = await PlainServer.create(opts.address, (path, headers) => {
      const [, kind = '', after = ''] = FEED_PATH.exec(path) ?? []
      const { feed, encoder } = served.get(kind) ?? {}
      if (!feed?.hasList || !encoder) return { status: 404, body: '' }
      const acceptsGzip = headers['accept-encoding'] === 'gzip'
      const { body, isCompressed } = encoder.encode(
        feed.updateSince(Number(after)),
        acceptsGzip,
      )
      return {
        status: 200,
        contentType: 'application/json',
        ...(isCompressed && { contentEncoding: 'gzip' }),
        body,
      }
    })
    return new FeedExchange(opts, server)
  }

  /** Marks of all feeds with a known list, for the reports to other instances. */
  get marks(): FeedMark[] {
    return this.opts.feeds.filter(({ hasList }) => hasList).map(({ mark }) => mark)
  }

  /**
   * Applies the marks of another instance and pulls the feeds in which this instance is
   * behind.
   */
  applyMarks(marks: readonly FeedMark[], from: ListenAddress): void {
    this.#puller.applyMarks(marks, from.host)
  }

  close(): void {
    this.server.close()
    this.#agent.destroy()
  }

  async #pull(host: string, kind: string, after: number): Promise<FeedUpdate<unknown>> {
    const response = await requestJson({
      method: 'GET',
      url: `http://${host}:${this.opts.address.port}/feed/${kind}?after=${after}`,
      timeoutMs: PULL_TIMEOUT_MS,
      agent: this.#agent,
      acceptsGzip: true,
      maxBytes: MAX_UPDATE_BYTES,
    })
    if (response.status !== 200) throw new Error(`status ${response.status}`)
    return response.body as FeedUpdate<unknown>
  }
}
