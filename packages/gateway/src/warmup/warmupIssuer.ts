/**
 * Issues the permits of cold backend servers: a fixed number in each sliding window, whichever
 * instances ask.
 *
 * The token bucket of `limits/permitIssuer.ts` doesn't fit: what it saves up and what was issued
 * in the second before add up to twice its rate in one second.
 */
import type { Clock } from '@wagtailway/core'
import type { PermitGrant } from '../limits/permitIssuer.js'
import { ISSUE_WINDOW_MS, divideBound } from './warmupBound.js'

/** Part of the permits of a window that one ask may get, so that others get some too. */
const MAX_GRANT_DIVISOR = 3

/**
 * Share of the permits of a window that one instance may get: an issuer that is cut off and
 * doesn't know it yet issues to itself alone.
 */
const MAX_ASKER_SHARE = 0.5

/** Asks that all instances together should send, as a multiple of the permits issued. */
const ASKS_PER_PERMIT = 2

/** Bounds of the time after which a refused instance may ask again, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 3_000

/** Time after which a server that nobody asks for is removed, in milliseconds. */
const RECORD_TTL_MS = 10_000

/** Maximum number of servers that are kept; asks come from other processes. */
const MAX_RECORDS = 8_192

export interface WarmupAsk {
  /** The same if the ask is sent again. */
  readonly id: number
  readonly incarnation: string
  /** Requests in any second that the server may get. */
  readonly bound: number
  readonly count: number
  /** Name of the entry instance. */
  readonly asker: string
}

/** Part of this instance in issuing the permits of one server. */
export type WarmupRole = 'responsible' | 'deputy' | 'none'

interface Record {
  /** Permits issued, the oldest first. */
  issued: { readonly atMs: number; readonly asker: string | undefined }[]
  askedAtMs: number
  /** The last ask of each instance. */
  readonly askers: Map<string, { readonly id: number; readonly grant: PermitGrant }>
}

/**
 * Permits that this instance has issued, by server.
 *
 * @example
 * issuer.issue({ id, incarnation: 's1 17', bound: 15, count: 1, asker: 'n2' }, 'responsible', 1)
 */
export class WarmupIssuer {
  /** By incarnation, the one that was asked for longest ago first. */
  readonly #records = new Map<string, Record>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WarmupIssuer {
    return new WarmupIssuer(clock)
  }

  /**
   * Answers an ask; the same ask gets the same answer.
   *
   * @param fleetShare Share of the fleet that this instance can reach, from 0 to 1.
   */
  issue(ask: WarmupAsk, role: WarmupRole, fleetShare: number): PermitGrant {
    const quota = divideBound(ask.bound)
    const record = this.#recordOf(ask.incarnation, quota.responsible)
    const previous = record.askers.get(ask.asker)
    if (previous?.id === ask.id) return previous.grant
    const share = role === 'none' ? 0 : Math.floor(quota[role] * fleetShare)
    const grant = this.#take(record, ask, share)
    record.askers.set(ask.asker, { id: ask.id, grant })
    return grant
  }

  /** @param quota Permits that this instance may issue in a window. */
  #take(record: Record, { count, asker }: WarmupAsk, quota: number): PermitGrant {
    const nowMs = this.clock()
    const { issued } = record
    const maxGrant = Math.max(1, Math.floor(quota / MAX_GRANT_DIVISOR))
    const available = quota - issued.length
    const ownCount = issued.filter((permit) => permit.asker === asker).length
    const availableToAsker = Math.ceil(quota * MAX_ASKER_SHARE) - ownCount
    const granted = Math.max(0, Math.min(count, maxGrant, available, availableToAsker))
    for (let i = 0; i < granted; i += 1) issued.push({ atMs: nowMs, asker })
    if (granted > 0) return { count: granted, retryAfterMs: 0 }
    // The window has room for a permit again once this one has left it.
    const oldestMs = issued[issued.length - quota]?.atMs ?? nowMs
    const availableInMs = oldestMs + ISSUE_WINDOW_MS - nowMs
    const askerCount = record.askers.size + (record.askers.has(asker) ? 0 : 1)
    const asksPerWindow = ASKS_PER_PERMIT * Math.max(1, quota)
    const spreadMs = (askerCount / asksPerWindow) * ISSUE_WINDOW_MS
    const retryAfterMs = Math.max(availableInMs, spreadMs, MIN_RETRY_AFTER_MS)
    return { count: 0, retryAfterMs: Math.min(retryAfterMs, MAX_RETRY_AFTER_MS) }
  }

  /** Record of a server, without the permits that have left the window. */
  #recordOf(incarnation: string, quota: number): Record {
    const nowMs = this.clock()
    const record = this.#records.get(incarnation) ?? {
      // Requests that were sent before the cold time was known fall into the first second.
      issued: Array.from({ length: Math.ceil(quota / 2) }, () => ({
        atMs: nowMs,
        asker: undefined,
      })),
      askedAtMs: nowMs,
      askers: new Map(),
    }
    record.issued = record.issued.filter(({ atMs }) => atMs > nowMs - ISSUE_WINDOW_MS)
    record.askedAtMs = nowMs
    this.#records.delete(incarnation)
    this.#records.set(incarnation, record)
    this.#removeOld()
    return record
  }

  #removeOld(): void {
    const oldestMs = this.clock() - RECORD_TTL_MS
    for (const [incarnation, { askedAtMs }] of this.#records) {
      if (askedAtMs >= oldestMs && this.#records.size <= MAX_RECORDS) return
      this.#records.delete(incarnation)
    }
  }
}
