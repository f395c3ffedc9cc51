/**
 * Issues the permits of rate-limited backend servers to entry instances: one permit for one
 * request.
 *
 * A server's limit is for all instances together, and a part of a small limit for each of
 * many instances would be of no use to any. So one instance issues the permits of a server
 * from a token bucket, to whichever instance asks.
 */
import type { Clock } from '@wagtailway/core'
import { LOWEST_URGENCY } from '../model/urgency.js'

/**
 * Rate at which a server gets requests even if it names less, in requests a second: only its
 * responses tell when the limit is lifted.
 */
const MIN_REQUESTS_PER_S = 0.25

/** Least permits that a bucket holds, and seconds of its rate that it holds besides. */
const MIN_BURST = 3
const BURST_S = 0.5

/** Share of a server's limit that an instance issues in place of the one responsible. */
const DEPUTY_SHARE = 0.25

/** Seconds of the rate that one ask may get at most, so that others get some too. */
const MAX_GRANT_S = 0.5

/** Time for which an instance that has asked counts as one that will ask again, in ms. */
const ASKER_TTL_MS = 30_000

/**
 * Permits that all instances together should ask for, as a multiple of those issued: some
 * instances cease to ask.
 */
const ASKED_PER_ISSUED = 2

/** Asks a second that all instances together should send at least. */
const MIN_ASKS_PER_S = 4

/** Weight of the latest ask in the mean number of permits that are asked for. */
const MEAN_COUNT_WEIGHT = 0.1

/** Bounds of the time after which a refused instance may ask again, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 20_000

/** A bucket that nobody has asked for this long is removed, in milliseconds. */
const BUCKET_TTL_MS = 60_000

export interface PermitAsk {
  /** The same if the ask is sent again. */
  readonly id: number
  readonly incarnation: string
  /** The server's limit, as the issuer knows it. */
  readonly requestsPerS: number
  /** Number of permits that the instance can use at once. */
  readonly count: number
  /** From 0, the most urgent, to 9. */
  readonly urgency: number
  /** Name of the entry instance. */
  readonly asker: string
}

export interface PermitGrant {
  /** Number of permits; zero if there is none for this urgency. */
  readonly count: number
  /** Time after which the instance may ask again, in milliseconds. */
  readonly retryAfterMs: number
}

/** How an instance comes to issue the permits of a server. */
export interface IssuerRole {
  /** Whether it stands in for the instance responsible, which doesn't respond. */
  readonly isDeputy: boolean
  /** Share of the fleet that it can reach, from 0 to 1. */
  readonly fleetShare: number
}

interface Bucket {
  permits: number
  filledAtMs: number
  isDeputy: boolean
  /** Mean number of permits that an ask can get. */
  meanCount: number
  /** The last ask of each instance, the one that asked longest ago first. */
  readonly askers: Map<string, AnsweredAsk>
}

interface AnsweredAsk {
  readonly id: number
  readonly atMs: number
  readonly grant: PermitGrant
}

/**
 * Token buckets of the servers that this instance issues permits for.
 *
 * @example
 * const { count } = issuer.issue(ask, { isDeputy: false, fleetShare: 1 })
 */
export class PermitIssuer {
  /** By incarnation, the one that was asked for longest ago first. */
  readonly #buckets = new Map<string, Bucket>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PermitIssuer {
    return new PermitIssuer(clock)
  }

  issue(ask: PermitAsk, role: IssuerRole): PermitGrant {
    const previous = this.#buckets.get(ask.incarnation)?.askers.get(ask.asker)
    if (previous?.id === ask.id) return previous.grant
    const { isDeputy, fleetShare } = role
    const share = fleetShare * (isDeputy ? DEPUTY_SHARE : 1)
    const rate = Math.max(ask.requestsPerS, MIN_REQUESTS_PER_S) * share
    const capacity = isDeputy ? 1 : MIN_BURST + BURST_S * rate
    const bucket = this.#fill(ask.incarnation, rate, capacity, isDeputy)
    const grant = this.#take(bucket, ask, rate, capacity)
    this.#recordAsk(bucket, ask, grant)
    return grant
  }

  /** Removes the buckets of servers that nobody asks for any more. */
  removeOld(): void {
    const oldestMs = this.clock() - BUCKET_TTL_MS
    for (const [incarnation, { filledAtMs }] of this.#buckets) {
      if (filledAtMs >= oldestMs) return
      this.#buckets.delete(incarnation)
    }
  }

  #take(bucket: Bucket, ask: PermitAsk, rate: number, capacity: number): PermitGrant {
    // The less urgent leave some permits to the more urgent.
    const reserve = (Math.max(0, capacity - 2) * ask.urgency) / LOWEST_URGENCY
    const available = Math.floor(bucket.permits - reserve)
    const maxGrant = Math.max(1, Math.floor(rate * MAX_GRANT_S))
    const usableCount = Math.min(ask.count, maxGrant)
    bucket.meanCount += MEAN_COUNT_WEIGHT * (usableCount - bucket.meanCount)
    const count = Math.max(0, Math.min(usableCount, available))
    bucket.permits -= count
    if (count > 0) return { count, retryAfterMs: 0 }
    const availableInMs = ((1 + reserve - bucket.permits) / rate) * 1_000
    const asksPerS = Math.max(
      MIN_ASKS_PER_S,
      (ASKED_PER_ISSUED * rate) / bucket.meanCount,
    )
    const spreadMs = (bucket.askers.size / asksPerS) * 1_000
    const retryAfterMs = Math.max(availableInMs, spreadMs, MIN_RETRY_AFTER_MS)
    return { count, retryAfterMs: Math.min(retryAfterMs, MAX_RETRY_AFTER_MS) }
  }

  /** Bucket of a server, with what it got since the last ask. A new one is empty. */
  #fill(incarnation: string, rate: number, capacity: number, isDeputy: boolean): Bucket {
    const nowMs = this.clock()
    const known = this.#buckets.get(incarnation)
    const bucket = known ?? createBucket(nowMs, isDeputy)
    if (bucket.isDeputy !== isDeputy) {
      bucket.isDeputy = isDeputy
      bucket.permits = 0
    } else bucket.permits += ((nowMs - bucket.filledAtMs) / 1_000) * rate
    bucket.permits = Math.min(bucket.permits, capacity)
    bucket.filledAtMs = nowMs
    this.#buckets.delete(incarnation)
    this.#buckets.set(incarnation, bucket)
    return bucket
  }

  #recordAsk({ askers }: Bucket, { id, asker }: PermitAsk, grant: PermitGrant): void {
    const nowMs = this.clock()
    askers.delete(asker)
    askers.set(asker, { id, atMs: nowMs, grant })
    for (const [name, { atMs }] of askers) {
      if (nowMs - atMs < ASKER_TTL_MS) return
      askers.delete(name)
    }
  }
}

function createBucket(nowMs: number, isDeputy: boolean): Bucket {
  return { permits: 0, filledAtMs: nowMs, isDeputy, meanCount: 1, askers: new Map() }
}
