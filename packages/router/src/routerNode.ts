/** The parts of one router that requests use. */
import type {
  AdmissionPolicy,
  BillingRecord,
  ClaimTable,
  Clock,
  ConfigHolder,
  Ledger,
  MemberTable,
  QualityEstimates,
  Random,
  ReplicaPolicy,
  RetryBudget,
  VersionPolicy,
} from '@wagtailway/core'
import type { BackendClient } from './backend/backendClient.js'
import type { BackendTable } from './backend/backendTable.js'
import type { Log } from './log.js'
import type { RouterMetrics } from './metrics.js'
import type { ResolvedRouterOptions } from './options.js'
import type { Decisions } from './request/decision.js'

/** Behaviour that varies. */
export interface RouterPolicies {
  readonly admit: AdmissionPolicy
  readonly chooseVersions: VersionPolicy
  readonly chooseReplica: ReplicaPolicy
}

/** Copies records to other instances; resolves to the number of copies made. */
export type CopyRecord = (record: BillingRecord) => Promise<number>

/** Sends an answer to be rated. */
export type RequestRating = (answer: {
  requestId: string
  classKey: string
  versionKey: string
}) => void

export interface RouterNode {
  readonly cfg: ResolvedRouterOptions
  readonly config: ConfigHolder
  readonly backends: BackendTable
  readonly client: BackendClient
  readonly members: MemberTable
  readonly claims: ClaimTable
  readonly sessions: ClaimTable
  readonly ledger: Ledger
  readonly estimates: QualityEstimates
  readonly retryBudget: RetryBudget
  readonly policies: RouterPolicies
  /** What was decided about the latest requests. */
  readonly decisions: Decisions
  readonly metrics: RouterMetrics
  readonly log: Log
  readonly random: Random
  readonly clock: Clock
  readonly wallClock: Clock
  readonly copyRecord: CopyRecord
  readonly requestRating: RequestRating
  /** Requests in progress. */
  inProgress: number
}
