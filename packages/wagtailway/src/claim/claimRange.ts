/** One range of claims: gathers requests and decides them by one conditional update. */
import { sleep } from '../csp/timers.js'
import {
  claimEntriesSchema,
  dropExpired,
  entryBytes,
  type ClaimEntries,
  type ClaimEntry,
} from './claimEntries.js'
import { ClaimNotes } from './claimNotes.js'
import { ClaimQueue, UNAVAILABLE, type PendingClaim } from './claimQueue.js'
import { WritePace } from './writePace.js'
import type {
  ClaimNote,
  ClaimRequest,
  ClaimVerdict,
  ResolvedClaimTableOptions,
} from './claimTable.js'

/** Time for which claims are unavailable at once after the platform was away, in milliseconds. */
const AWAY_MS = 500

/** Longest first pause after a conflict, in milliseconds; doubles with each further one. */
const BACKOFF_MS = 8
const MAX_BACKOFF_MS = 128

/** Longest wait of a note for a write to ride on, in milliseconds. */
const NOTE_DELAY_MS = { done: 5_000, given_up: 100 }

/** Attempts to write notes that no claim waits with. */
const MAX_NOTE_ATTEMPTS = 4

/** Part of the retention time after which a claim that is asked for is renewed. */
const RENEW_FRACTION = 0.5

/**
 * Decides the claims of one range.
 *
 * @example
 * const range = ClaimRange.create('r0', opts)
 * await range.claim({ key: digest, holder: 'h1', value: '' })
 */
export class ClaimRange {
  readonly #queue: ClaimQueue
  readonly #notes = ClaimNotes.create()
  #entries: ClaimEntries = {}
  #revision = 0
  #loaded = false
  #isAway = false
  #running = false
  #closed = false
  readonly #pace: WritePace
  #awayUntilMs = Number.NEGATIVE_INFINITY
  #cancelNoteTimer: (() => void) | undefined

  private constructor(
    private readonly name: string,
    private readonly opts: ResolvedClaimTableOptions,
  ) {
    this.#queue = ClaimQueue.create(opts)
    this.#pace = WritePace.create(opts)
  }

  static create(name: string, opts: ResolvedClaimTableOptions): ClaimRange {
    return new ClaimRange(name, opts)
  }

  /** Claims a key that is already in its short form. */
  claim(request: ClaimRequest, timeoutMs = this.opts.timeoutMs): Promise<ClaimVerdict> {
    const known = this.#knownHeld(request)
    if (known) return Promise.resolve(known)
    if (this.#closed || this.#mustNotWait()) {
      this.opts.onEvent('away')
      return Promise.resolve(this.#remembered(request))
    }
    const verdict = this.#queue.add(request, timeoutMs)
    void this.#run()
    return verdict
  }

  note(digest: string, holder: string, note: ClaimNote): void {
    if (this.#closed) return
    this.#notes.add(digest, holder, note)
    this.#cancelNoteTimer ??= this.opts.startTimer(NOTE_DELAY_MS[note], () => {
      this.#cancelNoteTimer = undefined
      void this.#run()
    })
  }

  close(): void {
    this.#closed = true
    this.#cancelNoteTimer?.()
    this.#queue.close()
  }

  /** Another's claim that this node has seen stands until it expires; no call is needed. */
  #knownHeld({ key, holder }: ClaimRequest): ClaimVerdict | undefined {
    const entry = this.#entryOf(key)
    if (!entry || entry.holder === holder || !this.#isLasting(entry)) return undefined
    if (this.#isExpired(entry) || this.#mayRenew(entry)) return undefined
    this.opts.onEvent('answered_from_memory')
    return verdictOf(entry, holder)
  }

  /** Decides groups one after the other until nothing waits. */
  async #run(): Promise<void> {
    if (this.#running) return
    this.#running = true
    while (!this.#closed && (!this.#queue.isEmpty || this.#notes.areDue)) {
      const pauseMs = this.#pace.pauseMs()
      if (pauseMs > 0) await sleep(this.opts.startTimer, pauseMs)
      const group = this.#queue.drain()
      try {
        await this.#decideGroup(group)
      } catch {
        // An object that can't be read decides nothing.
        decideAll(group, UNAVAILABLE)
        this.#notes.postpone()
      }
    }
    this.#running = false
  }

  async #decideGroup(group: readonly PendingClaim[]): Promise<void> {
    if (this.#needsRead(group) && !(await this.#reload())) {
      this.#goAway(group)
      return
    }
    for (let attempt = 0; !this.#closed; attempt++) {
      const open = this.#answerKnown(group)
      if (open.length === 0 && attempt >= MAX_NOTE_ATTEMPTS) this.#notes.postpone()
      if (open.length === 0 && !this.#notes.areDue) return
      const next = this.#withGroup(open)
      if (next === undefined) return
      if (await this.#write(next)) {
        this.#answerKnown(open)
        return
      }
      // A lost confirmation may hide a write that took effect: read before the next try.
      if (!(await this.#reload())) {
        this.#goAway(open)
        return
      }
      await this.#backOff(attempt)
    }
  }

  /** What is known without the platform: a lasting claim stands until it expires. */
  #remembered({ key, holder }: ClaimRequest): ClaimVerdict {
    const entry = this.#entryOf(key)
    if (!entry || !this.#isLasting(entry) || this.#isExpired(entry)) return UNAVAILABLE
    return verdictOf(entry, holder)
  }

  /** While the platform is away one group at a time tries it; others get their answer at once. */
  #mustNotWait(): boolean {
    if (!this.#isAway) return false
    return this.#running || this.opts.clock() < this.#awayUntilMs
  }

  #entryOf(digest: string): ClaimEntry | undefined {
    const entry = this.#entries[digest]
    return entry && this.#notes.applyToOne(digest, entry)
  }

  /** Another's claim in progress may have been given up since it was last seen. */
  #needsRead(group: readonly PendingClaim[]): boolean {
    if (!this.#loaded) return true
    return group.some(({ request: { key, holder } }) => {
      const entry = this.#entries[key]
      return entry && entry.holder !== holder && !this.#isLasting(entry)
    })
  }

  /** Whether an entry can only go by expiring. */
  #isLasting(entry: ClaimEntry): boolean {
    return this.opts.permanent || entry.done === true
  }

  async #write(next: ClaimEntries): Promise<boolean> {
    const { store, kind, onEvent } = this.opts
    this.#pace.take()
    onEvent('put')
    const written = await store.put(kind, this.name, next, this.#revision)
    if (written.ok) {
      this.#isAway = false
      this.#entries = next
      this.#revision = written.val.revision
      this.#notes.settle(next)
      return true
    }
    onEvent(written.val.type === 'conflict' ? 'conflict' : 'unconfirmed')
    return false
  }

  /** Decides what the entries, as last read or written, already tell; returns the rest. */
  #answerKnown(group: readonly PendingClaim[]): PendingClaim[] {
    const open: PendingClaim[] = []
    for (const pending of group) {
      if (pending.isDecided) continue
      const { key, holder } = pending.request
      const entry = this.#entryOf(key)
      if (entry && !this.#isExpired(entry) && !this.#mayRenew(entry)) {
        pending.decide(verdictOf(entry, holder))
      } else {
        open.push(pending)
      }
    }
    return open
  }

  /** The entries with a group's claims; `undefined` if they would not change. */
  #withGroup(group: readonly PendingClaim[]): ClaimEntries | undefined {
    const atMs = this.opts.wallClock()
    const next = this.#notes.applyTo(
      dropExpired(this.#entries, atMs - this.opts.retentionMs),
    )
    let bytes = Buffer.byteLength(JSON.stringify(next))
    let changed = this.#notes.areDue
    for (const { request, decide } of group) {
      const { key, holder, value } = request
      const known = next[key]
      const entry = known ? { ...known, atMs } : { holder, value, atMs }
      if (!known) bytes += entryBytes(key, entry)
      if (!known && bytes > this.opts.maxObjectBytes) {
        this.opts.onEvent('full')
        decide(UNAVAILABLE)
        continue
      }
      next[key] = entry
      changed = true
    }
    return changed ? next : undefined
  }

  #isExpired(entry: ClaimEntry): boolean {
    return entry.atMs < this.opts.wallClock() - this.opts.retentionMs
  }

  #mayRenew(entry: ClaimEntry): boolean {
    if (!this.opts.renews) return false
    const ageMs = this.opts.wallClock() - entry.atMs
    return ageMs > this.opts.retentionMs * RENEW_FRACTION
  }

  async #reload(): Promise<boolean> {
    this.opts.onEvent('get')
    const read = await this.opts.store.get(this.opts.kind, this.name)
    if (read.err) return false
    this.#entries = claimEntriesSchema.parse(read.val?.value ?? {})
    this.#revision = read.val?.revision ?? 0
    this.#loaded = true
    this.#isAway = false
    return true
  }

  #goAway(group: readonly PendingClaim[]): void {
    this.opts.onEvent('away')
    this.#isAway = true
    this.#awayUntilMs = this.opts.clock() + AWAY_MS
    this.#notes.postpone()
    for (const { request, decide } of [...group, ...this.#queue.drain()]) {
      decide(this.#remembered(request))
    }
  }

  #backOff(attempt: number): Promise<void> {
    const longestMs = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** attempt)
    return sleep(this.opts.startTimer, this.opts.random() * longestMs)
  }
}

function verdictOf(entry: ClaimEntry, holder: string): ClaimVerdict {
  if (entry.holder === holder) return { type: 'granted' }
  const { holder: other, value, done } = entry
  return { type: 'held', holder: other, value, done: done ?? false }
}

function decideAll(group: readonly PendingClaim[], verdict: ClaimVerdict): void {
  for (const { decide } of group) decide(verdict)
}
