/** Entries of one range of claims, as stored in its platform object. */
import { createHash } from 'node:crypto'
import * as z from 'zod'

export const claimEntrySchema = z.object({
  holder: z.string(),
  value: z.string(),
  /** When the claim was made or renewed, in milliseconds since the epoch. */
  atMs: z.number(),
  /** Set once the holder's work is finished. */
  done: z.literal(true).optional(),
})

export const claimEntriesSchema = z.record(z.string(), claimEntrySchema)

export type ClaimEntry = z.infer<typeof claimEntrySchema>
export type ClaimEntries = z.infer<typeof claimEntriesSchema>

const DIGEST_LENGTH = 22

/**
 * Digest of a key. Its length is fixed, so that callers can't control the size of an
 * object.
 *
 * @example
 * claimDigest('kebele/note-17').length // 22
 */
export function claimDigest(key: string): string {
  return createHash('sha256').update(key).digest('base64url').slice(0, DIGEST_LENGTH)
}

/** Approximate number of bytes that an entry adds to its object. */
export function entryBytes(digest: string, entry: ClaimEntry): number {
  return Buffer.byteLength(JSON.stringify({ [digest]: entry }))
}

/** Returns the entries that were made or renewed at `oldestMs` or later. */
export function dropExpired(entries: ClaimEntries, oldestMs: number): ClaimEntries {
  const retained = Object.entries(entries).filter(([, { atMs }]) => atMs >= oldestMs)
  return Object.fromEntries(retained)
}
