/** Decides which updates this instance sends to others, and where it refers the rest. */
import type { Clock } from '@wagtailway/core'
import { FeedEncoder, type EncodedUpdate } from './feedCodec.js'
import type { FeedState } from './feedState.js'
import { LinkBacklog } from './linkBacklog.js'

/** Updates with fewer bytes are always sent. */
const MIN_LIMITED_BYTES = 4_096

/** Instances that a refused one is referred to. */
const MAX_REFERRALS = 8

/** Response to the request of an instance that is behind. */
export type FeedResponse =
  | ({ readonly type: 'update' } & EncodedUpdate)
  /** The link is occupied; `holders` are hosts that have received the update. */
  | { readonly type: 'busy'; readonly holders: readonly string[] }
  | { readonly type: 'unknown' }

export interface FeedRequest {
  readonly kind: string
  /** Revision that the requesting instance has reached. */
  readonly after: number
  /** Era of that revision; `undefined` from an earlier build. */
  readonly era: number | undefined
  /** Host of the requesting instance. */
  readonly host: string
  readonly acceptsGzip: boolean
}

interface ServedFeed {
  readonly feed: FeedState<unknown>
  readonly encoder: FeedEncoder
  /** When each host has received all changes up to `changedAt`, the latest last. */
  readonly receivedAtMs: Map<string, number>
  changedAt: number
  era: number
}

export interface FeedServerOptions {
  readonly clock: Clock
  readonly linkMbps: number
  readonly feeds: readonly FeedState<unknown>[]
}

/**
 * Serves the feeds of this instance. After a change many instances request the same
 * update at once; those that would wait for this link are referred to instances that have
 * the update already, so a change spreads as a tree.
 *
 * @example
 * const server = FeedServer.create({ clock, linkMbps: 10, feeds })
 * server.respond({ kind: 'config', after: 530, era: 1, host: '10.1.0.40', acceptsGzip: true })
 */
export class FeedServer {
  readonly #served: ReadonlyMap<string, ServedFeed>
  readonly #backlog: LinkBacklog

  private constructor(private readonly opts: FeedServerOptions) {
    this.#backlog = LinkBacklog.create(opts)
    this.#served = new Map(
      opts.feeds.map((feed) => [
        feed.kind,
        {
          feed,
          encoder: FeedEncoder.create(),
          receivedAtMs: new Map(),
          changedAt: 0,
          era: 0,
        },
      ]),
    )
  }

  static create(opts: FeedServerOptions): FeedServer {
    return new FeedServer(opts)
  }

  respond({ kind, after, era, host, acceptsGzip }: FeedRequest): FeedResponse {
    const served = this.#served.get(kind)
    if (!served?.feed.hasList) return { type: 'unknown' }
    const { feed, encoder, receivedAtMs } = served
    const { changedAt } = feed.mark
    if (served.changedAt !== changedAt || served.era !== feed.era) {
      served.changedAt = changedAt
      served.era = feed.era
      receivedAtMs.clear()
    }
    const position = { era: era ?? feed.era, revision: after }
    const encoded = encoder.encode(feed.updateSince(position), acceptsGzip)
    if (encoded.body.length >= MIN_LIMITED_BYTES) {
      const sentInMs = this.#backlog.tryReserve(encoded.body.length)
      if (sentInMs === undefined) return { type: 'busy', holders: this.#holders(served) }
      receivedAtMs.delete(host)
      receivedAtMs.set(host, this.opts.clock() + sentInMs)
    }
    return { type: 'update', ...encoded }
  }

  #holders({ receivedAtMs }: ServedFeed): string[] {
    const nowMs = this.opts.clock()
    return [...receivedAtMs]
      .filter(([, atMs]) => atMs <= nowMs)
      .map(([host]) => host)
      .slice(-MAX_REFERRALS)
  }
}
