/** Hashes that two nodes compare to find the members on which they differ. */
import { hash32 } from '../hash.js'
import { DIGEST_BUCKETS } from './constants.js'
import { MemberStatus, type MemberUpdate } from './member.js'

/** Digest bucket of a node, by its name. */
export function bucketOf(node: string): number {
  return hash32(node) % DIGEST_BUCKETS
}

/**
 * Digest of the known members, updated incrementally with each change.
 *
 * @example
 * const digest = MemberDigest.create()
 * digest.toggle(update)
 */
export class MemberDigest {
  readonly #buckets = new Uint32Array(DIGEST_BUCKETS)

  static create(): MemberDigest {
    return new MemberDigest()
  }

  /**
   * Adds an update, or removes it if it was added before; removed members count as
   * absent.
   */
  toggle(update: MemberUpdate): void {
    if (update.status === MemberStatus.removed) return
    const { node, incarnation, version, status, leaving } = update
    const state = `${node} ${incarnation} ${version} ${status} ${String(leaving)}`
    const bucket = bucketOf(node)
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ hash32(state)) >>> 0
  }

  get buckets(): number[] {
    return [...this.#buckets]
  }

  /** Hash over all buckets. */
  get combinedHash(): number {
    return this.#buckets.reduce((hash, bucket) => (hash ^ bucket) >>> 0, 0)
  }
}
