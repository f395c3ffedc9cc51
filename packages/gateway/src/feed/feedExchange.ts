/** Serves feeds to other entry instances and pulls theirs over HTTP. */
import { Agent } from 'node:http'
import { callOwned, type Clock } from '@wagtailway/core'
import {
  PlainServer,
  type PlainRequest,
  type PlainResponse,
} from '../http/plainServer.js'
import { requestJson } from '../http/requestJson.js'
import type { SmallServerLimits } from '../http/smallServerGuard.js'
import type { Listen } from '../sockets/sockets.js'
import {
  FeedPuller,
  type FeedPullerOptions,
  type PullResponse,
  type ReportSource,
} from './feedPuller.js'
import { FeedServer, type FeedResponse } from './feedServer.js'
import type { FeedMark, FeedState, StorePosition } from './feedState.js'
import { readHolders, readUpdate } from './pullMessage.js'

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

/** Status of a response that refers to other instances. */
const STATUS_BUSY = 503

interface BusyBody {
  readonly holders: readonly string[]
}

/** Request header with the era of the store that the requested revision belongs to. */
const ERA_HEADER = 'x-store-era'

const FEED_PATH = /^\/feed\/([^/?]+)\?after=(\d+)$/

export interface FeedExchangeOptions extends Pick<
  FeedPullerOptions,
  'zone' | 'random' | 'sleep' | 'onPulled' | 'onFailed'
> {
  readonly listen: Listen
  /** Port on which all instances serve their feeds. */
  readonly port: number
  readonly clock: Clock
  /** Bandwidth of this machine's link, in megabits per second. */
  readonly linkMbps: number
  readonly feeds: readonly FeedState<unknown>[]
  /** Called when a request of another instance could not be answered. */
  readonly onServeFailed: (err: unknown, req: PlainRequest) => void
  /** Limits of what clients hold. */
  readonly clientLimits?: SmallServerLimits
}

/**
 * Serves the feeds of this instance and pulls updates from instances that are ahead.
 *
 * @example
 * const exchange = await FeedExchange.create(options)
 * exchange.applyMarks(report.feedMarks, { host, zone })
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
      pull: (host, kind, after) =>
        callOwned('pull', host, () => this.#pull(host, kind, after)),
    })
  }

  static async create(opts: FeedExchangeOptions): Promise<FeedExchange> {
    const feedServer = FeedServer.create(opts)
    const respond = ({ path, headers, host }: PlainRequest): PlainResponse => {
      const [, kind = '', after = ''] = FEED_PATH.exec(path) ?? []
      const acceptsGzip = headers['accept-encoding'] === 'gzip'
      const eraText = headers[ERA_HEADER]
      const era = eraText === undefined ? undefined : Number(eraText)
      return toPlainResponse(
        feedServer.respond({ kind, after: Number(after), era, host, acceptsGzip }),
      )
    }
    const server = await PlainServer.create(
      opts.listen,
      respond,
      opts.onServeFailed,
      opts.clientLimits,
    )
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
  applyMarks(marks: readonly FeedMark[], from: ReportSource): void {
    this.#puller.applyMarks(marks, from)
  }

  /** Time for which this instance has been pulling without an update, in milliseconds. */
  pullingForMs(kind: string): number | undefined {
    return this.#puller.pullingForMs(kind)
  }

  close(): void {
    this.server.close()
    this.#agent.destroy()
  }

  async #pull(host: string, kind: string, after: StorePosition): Promise<PullResponse> {
    const { status, body } = await requestJson({
      method: 'GET',
      url: `http://${host}:${this.opts.port}/feed/${kind}?after=${after.revision}`,
      headers: { [ERA_HEADER]: String(after.era) },
      timeoutMs: PULL_TIMEOUT_MS,
      agent: this.#agent,
      acceptsGzip: true,
      maxBytes: MAX_UPDATE_BYTES,
    })
    if (status === STATUS_BUSY) return { type: 'busy', holders: readHolders(body) }
    if (status !== 200) throw new Error(`status ${status}`)
    return { type: 'update', update: readUpdate(body) }
  }
}

function toPlainResponse(response: FeedResponse): PlainResponse {
  switch (response.type) {
    case 'unknown':
      return { status: 404, body: '' }
    case 'busy': {
      const { holders } = response
      const body = JSON.stringify({ holders } satisfies BusyBody)
      return { status: STATUS_BUSY, contentType: 'application/json', body }
    }
    case 'update':
      return {
        status: 200,
        contentType: 'application/json',
        ...(response.isCompressed && { contentEncoding: 'gzip' }),
        body: response.body,
      }
  }
}
