/** What holders said of their claims since the last write of a range. */
import type { ClaimEntries, ClaimEntry } from './claimEntries.js'
import type { ClaimNote } from './claimTable.js'

interface Noted {
  readonly digest: string
  readonly note: ClaimNote
  /** Writes that the note has ridden on. */
  writes: number
}

/** Notes kept; the oldest are dropped first. */
const MAX_NOTES = 2_000

/** Writes that a note rides on at most. */
const KEPT_WRITES = 32

/**
 * Notes by holder. A note that a claim was given up is kept for a while after its
 * write, because the claim itself may be written late.
 *
 * @example
 * const notes = ClaimNotes.create()
 * notes.add(digest, 'h1', 'done')
 * notes.applyTo(entries)
 */
export class ClaimNotes {
  readonly #byHolder = new Map<string, Noted>()
  #due = false

  static create(): ClaimNotes {
    return new ClaimNotes()
  }

  /** Whether there is a note that no write has carried yet. */
  get areDue(): boolean {
    return this.#due
  }

  add(digest: string, holder: string, note: ClaimNote): void {
    const oldest = this.#byHolder.keys().next()
    if (this.#byHolder.size >= MAX_NOTES && !oldest.done) {
      this.#byHolder.delete(oldest.value)
    }
    this.#byHolder.set(holder, { digest, note, writes: 0 })
    this.#due = true
  }

  /** The entries as they are after the notes. */
  applyTo(entries: ClaimEntries): ClaimEntries {
    const noted = Object.entries(entries).flatMap(([digest, entry]) => {
      const now = this.applyToOne(digest, entry)
      return now ? [[digest, now] as const] : []
    })
    return Object.fromEntries(noted)
  }

  /** One entry as it is after the notes; `undefined` if its key is free. */
  applyToOne(digest: string, entry: ClaimEntry): ClaimEntry | undefined {
    const known = this.#byHolder.get(entry.holder)
    if (known?.digest !== digest) return entry
    // Only the holder itself gives up, before it has sent anything.
    return known.note === 'given_up' ? undefined : { ...entry, done: true }
  }

  /** Notes that the entries are stored now. */
  settle(stored: ClaimEntries): void {
    this.#due = false
    for (const [holder, noted] of this.#byHolder) {
      noted.writes += 1
      const isDone = noted.note === 'done' && stored[noted.digest]?.done === true
      if (isDone || noted.writes >= KEPT_WRITES) this.#byHolder.delete(holder)
    }
  }

  /** Lets the notes wait for the next claim: the platform is away. */
  postpone(): void {
    this.#due = false
  }
}
