/** Messages between entry instances, apart from their encoding. */
import type { MemberIdentity } from '../member/member.js'
import type { MemberExchange } from '../member/memberTable.js'
import type { ItemDelta } from './itemHistory.js'
import type { LatestValue } from './latestValues.js'

export interface ExchangeRequest extends MemberExchange {
  readonly from: MemberIdentity
  readonly leaving: boolean
  /** Revision of the configuration at the sender. */
  readonly configRevision: number
  readonly values: readonly LatestValue[]
}

export interface ExchangeResponse extends MemberExchange {
  readonly configRevision: number
  /** Newest revision that the sender has heard of. */
  readonly knownRevision: number
  /** Age of the proof that the revision was the newest, in milliseconds. */
  readonly configAgeMs: number
  /** Hash of the list of instances. */
  readonly listHash: number
  /** Age of the newest look at that list, in milliseconds. */
  readonly listAgeMs: number
  /** Hash of the names that `claimAges` stands for. */
  readonly claimListKey: number
  /** Claims not to reach the platform, see `OutageTally`. */
  readonly claimAges: Uint8Array
  readonly values: readonly LatestValue[]
}

/** Changes of the configuration, or of the list of instances. */
export interface DeltaResponse {
  /** Revision of the configuration; zero for a list. */
  readonly revision: number
  readonly ageMs: number
  readonly delta: ItemDelta
}

/** Age that stands for "never" in a message, in milliseconds. */
export const NEVER_MS = 4_294_967_295

/** Rounds an age up for a message, so that it never looks younger. */
export function toAgeMs(ageMs: number): number {
  return Math.min(Math.ceil(ageMs), NEVER_MS)
}
