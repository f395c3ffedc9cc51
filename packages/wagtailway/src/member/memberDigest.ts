/** Hashes by which two nodes find the members that they know differently. */
import { hash32 } from '../hash.js'
import { DIGEST_BUCKETS } from './constants.js'
import { MemberStatus, type MemberUpdate } from './member.js'

/** Bucket of a node's name. */
export function bucketOf(node: string): number {
  return hash32(node) % DIGEST_BUCKETS
}

/**
 * Digest kept up to date with each change.
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

  /** Adds an update, or takes it out again; removed members count as absent. */
  toggle(update: MemberUpdate): void {
    if (update.status === MemberStatus.removed) return
    const { node, incarnation, version, status, leaving } = update
    const text = `${node} ${incarnation} ${version} ${status} ${String(leaving)}`
    const bucket = bucketOf(node)
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ hash32(text)) >>> 0
  }

  get buckets(): number[] {
    return [...this.#buckets]
  }

  /** One hash of all buckets. */
  get whole(): number {
    return this.#buckets.reduce((all, bucket) => (all ^ bucket) >>> 0, 0)
  }
}
