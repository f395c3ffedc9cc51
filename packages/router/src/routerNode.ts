/** The parts of one router that requests use. */
import type {
  AdmissionPolicy,
  Claims,
  Clock,
  ConfigHolder,
  Ledger,
  LedgerEntry,
  MemberTable,
  QualityEstimates,
  Random,
  ReplicaPolicy,
  RetryBudget,
  SheddingPolicy,
  RolloutRegistry,
  SessionPins,
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
  readonly selectVersions: VersionPolicy
  readonly chooseReplica: ReplicaPolicy
}

/** Copies a record to other instances; resolves to false if no copy could be made. */
export type CopyRecord = (entry: LedgerEntry) => Promise<boolean>

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
  readonly claims: Claims
  readonly sessions: SessionPins
  readonly ledger: Ledger
  readonly estimates: QualityEstimates
  readonly rollouts: RolloutRegistry
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
  /** Whether the list of backend servers is younger than this process's last pause. */
  readonly isInstanceListCurrent: () => boolean
  /** Refuses requests while this process can't keep up. */
  readonly shed: SheddingPolicy
  /** Requests in progress. */
  inProgress: number
}
