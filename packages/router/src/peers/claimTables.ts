/** The claim tables of one entry instance. */
import {
  ClaimTable,
  monotonicClock,
  startTimer,
  wallClock,
  type ClaimTableOptions,
  type ObjectStore,
  type Random,
} from '@wagtailway/core'
import type { RouterMetrics } from '../metrics.js'
import type { ClaimKind, ClaimTables } from './peerClaims.js'

const MS_PER_HOUR = 3_600_000

/** Time for which an idempotency key is remembered, in milliseconds. */
const CLAIM_RETENTION_MS = MS_PER_HOUR

/** Time after which an unused session may start anew, in milliseconds. */
export const SESSION_RETENTION_MS = 2 * MS_PER_HOUR

/** Creates the tables of idempotency keys and of sessions. */
export function createClaimTables(deps: {
  store: ObjectStore
  random: Random
  metrics: RouterMetrics
}): ClaimTables {
  const create = (
    kind: ClaimKind,
    opts: Pick<ClaimTableOptions, 'retentionMs' | 'renews' | 'permanent'>,
  ): ClaimTable =>
    ClaimTable.create({
      ...opts,
      kind,
      store: deps.store,
      random: deps.random,
      clock: monotonicClock,
      wallClock,
      startTimer,
      onEvent: (event) => {
        deps.metrics.claimEvents.inc({ kind, event })
      },
    })
  return {
    claim: create('claim', { retentionMs: CLAIM_RETENTION_MS }),
    session: create('session', {
      retentionMs: SESSION_RETENTION_MS,
      renews: true,
      permanent: true,
    }),
  }
}
