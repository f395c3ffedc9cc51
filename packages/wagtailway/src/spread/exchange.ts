/** Messages between entry instances, independent of their encoding. */
import type { MemberIdentity } from '../member/member.js'
import type { MemberExchange } from '../member/memberTable.js'
import type { ItemDelta } from './itemHistory.js'
import type { LatestValue } from './latestValues.js'

export interface ExchangeRequest extends MemberExchange {
  readonly from: MemberIdentity
  readonly leaving: boolean
  /** Configuration revision in force at the sender. */
  readonly configRevision: number
  readonly values: readonly LatestValue[]
}

export interface ExchangeResponse extends MemberExchange {
  readonly configRevision: number
  /** Newest configuration revision that the sender knows to exist. */
  readonly knownRevision: number
  /** Time since `configRevision` was last confirmed as the newest, in milliseconds. */
  readonly configAgeMs: number
  /** Hash of the list of instances. */
  readonly listHash: number
  /** Age of the newest poll of that list, in milliseconds. */
  readonly listAgeMs: number
  /** Hash of the member names that the positions in `claimAges` stand for. */
  readonly claimListKey: number
  /** Ages of the claims that members can't reach the platform, see `OutageTally`. */
  readonly claimAges: Uint8Array
  readonly values: readonly LatestValue[]
}

/** Changes to the configuration or to the list of instances. */
export interface DeltaResponse {
  /** Configuration revision; zero for the list of instances. */
  readonly revision: number
  readonly ageMs: number
  readonly delta: ItemDelta
}

/** Age that stands for "never" in a message, in milliseconds. */
export const NEVER_MS = 4_294_967_295

/** Rounds an age up for a message, so that the recipient never assumes a lower age. */
export function toAgeMs(ageMs: number): number {
  return Math.min(Math.ceil(ageMs), NEVER_MS)
}
