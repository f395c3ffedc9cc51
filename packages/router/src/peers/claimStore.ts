/**
 * The claim tables of one entry instance and their share of the platform's call budget.
 *
 * The owner of a range writes the claims of that range, so the call budget for claims is
 * divided by owned ranges and not evenly among instances.
 */
import {
  CallBudget,
  ClaimTable,
  FLEET_CALLS_PER_SECOND,
  monotonicClock,
  startTimer,
  wallClock,
  type ClaimTableOptions,
  type Random,
} from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import type { RouterMetrics } from '../metrics.js'
import type { ClaimKind, ClaimTables } from './peerClaims.js'

const MS_PER_HOUR = 3_600_000

/** Retention time of an idempotency key, in milliseconds. */
const CLAIM_RETENTION_MS = MS_PER_HOUR

/**
 * Retention time of an unused session, in milliseconds; after it the session counts as new
 * and may get another version.
 */
export const SESSION_RETENTION_MS = 2 * MS_PER_HOUR

/** Platform calls per second that the owners of all ranges together may make for claims. */
const CLAIM_CALLS_PER_SECOND = { ...FLEET_CALLS_PER_SECOND, get: 150, put: 150 }

export interface ClaimStoreOptions {
  /** Base URL of the platform's API. */
  readonly platform: string
  readonly random: Random
  readonly metrics: RouterMetrics
}

/**
 * Claim tables for idempotency keys and for sessions, over one platform client.
 *
 * @example
 * const store = ClaimStore.create({ platform, random, metrics })
 * await store.tables.claim.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class ClaimStore {
  readonly tables: ClaimTables
  readonly #budget: CallBudget
  readonly #client: PlatformClient

  private constructor(private readonly opts: ClaimStoreOptions) {
    this.#budget = CallBudget.create({
      clock: monotonicClock,
      random: opts.random,
      fleetCallsPerSecond: CLAIM_CALLS_PER_SECOND,
    })
    this.#client = this.#createClient()
    this.tables = {
      claim: this.#createTable('claim', { retentionMs: CLAIM_RETENTION_MS }),
      session: this.#createTable('session', {
        retentionMs: SESSION_RETENTION_MS,
        renews: true,
        permanent: true,
      }),
    }
  }

  static create(opts: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(opts)
  }

  /**
   * Sets this instance's share of the call budget, in proportion to the ranges that it owns;
   * an even share if it owns none.
   */
  setCallShare(ownedRanges: number, nodes: number): void {
    const ranges = this.tables.claim.rangeCount + this.tables.session.rangeCount
    this.#budget.setNodeCount(ownedRanges > 0 ? ranges / ownedRanges : nodes)
  }

  close(): void {
    this.tables.claim.close()
    this.tables.session.close()
    this.#client.close()
  }

  #createClient(): PlatformClient {
    const { platform, metrics } = this.opts
    return PlatformClient.create({
      url: platform,
      budget: this.#budget,
      onCall: (operation) => {
        metrics.platformCalls.inc({ operation })
      },
      onCallRejected: (operation, reason) => {
        metrics.platformCallsHeldBack.inc({ operation, reason })
      },
      onFailure: (operation) => {
        metrics.platformFailures.inc({ operation })
      },
    })
  }

  #createTable(
    kind: ClaimKind,
    opts: Pick<ClaimTableOptions, 'retentionMs' | 'renews' | 'permanent'>,
  ): ClaimTable {
    return ClaimTable.create({
      ...opts,
      kind,
      store: this.#client,
      random: this.opts.random,
      clock: monotonicClock,
      wallClock,
      startTimer,
      onEvent: (event) => {
        this.opts.metrics.claimEvents.inc({ kind, event })
      },
    })
  }
}
