/** Notes that holders reported on their claims in a range, for its next writes. */
import type { ClaimEntries, ClaimEntry } from './claimEntries.js'
import type { ClaimNote } from './claimTable.js'

interface PendingNote {
  readonly digest: string
  readonly note: ClaimNote
  /** Number of writes that included the note. */
  writes: number
}

/** Maximum number of notes; when it is reached, the oldest is dropped. */
const MAX_NOTES = 2_000

/** Maximum number of writes that include a note. */
const MAX_WRITES_PER_NOTE = 32

/**
 * Notes by holder. A note that a claim was given up is retained for some writes after the
 * first one, because the claim itself may be written after the note.
 *
 * @example
 * const notes = ClaimNotes.create()
 * notes.add(digest, 'h1', 'done')
 * notes.applyTo(entries)
 */
export class ClaimNotes {
  readonly #byHolder = new Map<string, PendingNote>()
  #isWriteDue = false

  static create(): ClaimNotes {
    return new ClaimNotes()
  }

  /** Whether there is a note that no write has included yet. */
  get hasUnwritten(): boolean {
    return this.#isWriteDue
  }

  add(digest: string, holder: string, note: ClaimNote): void {
    const oldest = this.#byHolder.keys().next()
    if (this.#byHolder.size >= MAX_NOTES && !oldest.done) {
      this.#byHolder.delete(oldest.value)
    }
    this.#byHolder.set(holder, { digest, note, writes: 0 })
    this.#isWriteDue = true
  }

  /** Returns the entries with all notes applied. */
  applyTo(entries: ClaimEntries): ClaimEntries {
    const updatedEntries = Object.entries(entries).flatMap(([digest, entry]) => {
      const updated = this.applyToEntry(digest, entry)
      return updated ? [[digest, updated] as const] : []
    })
    return Object.fromEntries(updatedEntries)
  }

  /** Returns an entry with its note applied; `undefined` if the claim was given up. */
  applyToEntry(digest: string, entry: ClaimEntry): ClaimEntry | undefined {
    const pendingNote = this.#byHolder.get(entry.holder)
    if (pendingNote?.digest !== digest) return entry
    // Only the holder itself gives up a claim, and only if it has sent nothing.
    return pendingNote.note === 'given_up' ? undefined : { ...entry, done: true }
  }

  /**
   * Records that the entries were written, and drops the notes that are no longer needed.
   */
  recordWritten(stored: ClaimEntries): void {
    this.#isWriteDue = false
    for (const [holder, pending] of this.#byHolder) {
      pending.writes += 1
      const isDone = pending.note === 'done' && stored[pending.digest]?.done === true
      if (isDone || pending.writes >= MAX_WRITES_PER_NOTE) this.#byHolder.delete(holder)
    }
  }

  /** Leaves the notes for the write of the next claim, after writing them has failed. */
  postpone(): void {
    this.#isWriteDue = false
  }
}
