/** One range of claims: decides groups of claims by one conditional update each. */
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
import { WriteRateLimiter } from './writeRateLimiter.js'
import type {
  ClaimNote,
  ClaimRequest,
  ClaimVerdict,
  ResolvedClaimTableOptions,
} from './claimTable.js'

/**
 * Time for which claims fail fast after a failed read from the platform, in milliseconds.
 */
const FAIL_FAST_MS = 500

/**
 * Maximum first backoff after a conflict, in milliseconds; doubles with each further
 * attempt.
 */
const BACKOFF_MS = 8
const MAX_BACKOFF_MS = 128

/**
 * Time that a note waits for the write of a claim before it causes its own, in
 * milliseconds.
 */
const NOTE_DELAY_MS = { done: 5_000, given_up: 100 }

/** Maximum attempts to write notes when no claim waits for the same write. */
const MAX_NOTE_ATTEMPTS = 4

/**
 * Fraction of the retention time after which a claim that is requested again is renewed.
 */
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
  #isLoaded = false
  #isPlatformUnavailable = false
  #isProcessing = false
  #isClosed = false
  readonly #rateLimiter: WriteRateLimiter
  #failFastUntilMs = Number.NEGATIVE_INFINITY
  #cancelNoteTimer: (() => void) | undefined

  private constructor(
    private readonly name: string,
    private readonly opts: ResolvedClaimTableOptions,
  ) {
    this.#queue = ClaimQueue.create(opts)
    this.#rateLimiter = WriteRateLimiter.create(opts)
  }

  static create(name: string, opts: ResolvedClaimTableOptions): ClaimRange {
    return new ClaimRange(name, opts)
  }

  /** Claims a key, given as its digest. */
  claim(request: ClaimRequest, timeoutMs = this.opts.timeoutMs): Promise<ClaimVerdict> {
    const heldVerdict = this.#heldFromMemory(request)
    if (heldVerdict) return Promise.resolve(heldVerdict)
    if (this.#isClosed || this.#shouldFailFast()) {
      this.opts.onEvent('away')
      return Promise.resolve(this.#verdictFromMemory(request))
    }
    const verdict = this.#queue.add(request, timeoutMs)
    void this.#processQueue()
    return verdict
  }

  note(digest: string, holder: string, note: ClaimNote): void {
    if (this.#isClosed) return
    this.#notes.add(digest, holder, note)
    this.#cancelNoteTimer ??= this.opts.startTimer(NOTE_DELAY_MS[note], () => {
      this.#cancelNoteTimer = undefined
      void this.#processQueue()
    })
  }

  close(): void {
    this.#isClosed = true
    this.#cancelNoteTimer?.()
    this.#queue.close()
  }

  /**
   * The verdict on a key that another holder is known to hold until the claim expires,
   * which needs no call to the platform; else `undefined`.
   */
  #heldFromMemory({ key, holder }: ClaimRequest): ClaimVerdict | undefined {
    const entry = this.#entryOf(key)
    if (!entry || entry.holder === holder || !this.#isFinal(entry)) return undefined
    if (this.#isExpired(entry) || this.#needsRenewal(entry)) return undefined
    this.opts.onEvent('answered_from_memory')
    return verdictOf(entry, holder)
  }

  /** Decides one group after the other until no claims or notes are left. */
  async #processQueue(): Promise<void> {
    if (this.#isProcessing) return
    this.#isProcessing = true
    while (!this.#isClosed && (!this.#queue.isEmpty || this.#notes.hasUnwritten)) {
      const waitMs = this.#rateLimiter.waitMs()
      if (waitMs > 0) await sleep(this.opts.startTimer, waitMs)
      const group = this.#queue.drain()
      try {
        await this.#decideGroup(group)
      } catch {
        // The stored object is malformed, so no claim can be decided.
        decideAll(group, UNAVAILABLE)
        this.#notes.postpone()
      }
    }
    this.#isProcessing = false
  }

  async #decideGroup(group: readonly PendingClaim[]): Promise<void> {
    if (this.#needsRead(group) && !(await this.#reload())) {
      this.#markUnavailable(group)
      return
    }
    for (let attempt = 0; !this.#isClosed; attempt++) {
      const undecided = this.#decideFromEntries(group)
      if (undecided.length === 0 && attempt >= MAX_NOTE_ATTEMPTS) this.#notes.postpone()
      if (undecided.length === 0 && !this.#notes.hasUnwritten) return
      const next = this.#addGroup(undecided)
      if (next === undefined) return
      if (await this.#write(next)) {
        this.#decideFromEntries(undecided)
        return
      }
      // An unconfirmed write may have taken effect: read the object before the next
      // attempt.
      if (!(await this.#reload())) {
        this.#markUnavailable(undecided)
        return
      }
      await this.#backOff(attempt)
    }
  }

  /**
   * The verdict that is known without the platform; unavailable unless the claim is
   * final.
   */
  #verdictFromMemory({ key, holder }: ClaimRequest): ClaimVerdict {
    const entry = this.#entryOf(key)
    if (!entry || !this.#isFinal(entry) || this.#isExpired(entry)) return UNAVAILABLE
    return verdictOf(entry, holder)
  }

  /**
   * Whether a claim gets its verdict at once: while the platform is unavailable, only one
   * group at a time calls it, and none for {@link FAIL_FAST_MS} after a failure.
   */
  #shouldFailFast(): boolean {
    if (!this.#isPlatformUnavailable) return false
    return this.#isProcessing || this.opts.clock() < this.#failFastUntilMs
  }

  #entryOf(digest: string): ClaimEntry | undefined {
    const entry = this.#entries[digest]
    return entry && this.#notes.applyToEntry(digest, entry)
  }

  /**
   * Whether the object must be read first: another holder's claim that isn't final may
   * have been given up since the last read.
   */
  #needsRead(group: readonly PendingClaim[]): boolean {
    if (!this.#isLoaded) return true
    return group.some(({ request: { key, holder } }) => {
      const entry = this.#entries[key]
      return entry && entry.holder !== holder && !this.#isFinal(entry)
    })
  }

  /** Whether an entry can't be given up any more, so that it stays until it expires. */
  #isFinal(entry: ClaimEntry): boolean {
    return this.opts.permanent || entry.done === true
  }

  async #write(next: ClaimEntries): Promise<boolean> {
    const { store, kind, onEvent } = this.opts
    this.#rateLimiter.recordWrite()
    onEvent('put')
    const written = await store.put(kind, this.name, next, this.#revision)
    if (written.ok) {
      this.#isPlatformUnavailable = false
      this.#entries = next
      this.#revision = written.val.revision
      this.#notes.recordWritten(next)
      return true
    }
    onEvent(written.val.type === 'conflict' ? 'conflict' : 'unconfirmed')
    return false
  }

  /**
   * Decides the claims for which the entries last read or written give a verdict; returns
   * the rest.
   */
  #decideFromEntries(group: readonly PendingClaim[]): PendingClaim[] {
    const undecided: PendingClaim[] = []
    for (const pending of group) {
      if (pending.isDecided) continue
      const { key, holder } = pending.request
      const entry = this.#entryOf(key)
      if (entry && !this.#isExpired(entry) && !this.#needsRenewal(entry)) {
        pending.decide(verdictOf(entry, holder))
      } else {
        undecided.push(pending)
      }
    }
    return undecided
  }

  /**
   * Returns the entries with a group's claims and all notes; `undefined` if nothing
   * changes.
   */
  #addGroup(group: readonly PendingClaim[]): ClaimEntries | undefined {
    const atMs = this.opts.wallClock()
    const next = this.#notes.applyTo(
      dropExpired(this.#entries, atMs - this.opts.retentionMs),
    )
    let bytes = Buffer.byteLength(JSON.stringify(next))
    let changed = this.#notes.hasUnwritten
    for (const { request, decide } of group) {
      const { key, holder, value } = request
      const existing = next[key]
      const entry = existing ? { ...existing, atMs } : { holder, value, atMs }
      if (!existing) bytes += entryBytes(key, entry)
      if (!existing && bytes > this.opts.maxObjectBytes) {
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

  #needsRenewal(entry: ClaimEntry): boolean {
    if (!this.opts.renews) return false
    const ageMs = this.opts.wallClock() - entry.atMs
    return ageMs > this.opts.retentionMs * RENEW_FRACTION
  }

  async #reload(): Promise<boolean> {
    this.opts.onEvent('get')
    const response = await this.opts.store.get(this.opts.kind, this.name)
    if (response.err) return false
    this.#entries = claimEntriesSchema.parse(response.val?.value ?? {})
    this.#revision = response.val?.revision ?? 0
    this.#isLoaded = true
    this.#isPlatformUnavailable = false
    return true
  }

  #markUnavailable(group: readonly PendingClaim[]): void {
    this.opts.onEvent('away')
    this.#isPlatformUnavailable = true
    this.#failFastUntilMs = this.opts.clock() + FAIL_FAST_MS
    this.#notes.postpone()
    for (const { request, decide } of [...group, ...this.#queue.drain()]) {
      decide(this.#verdictFromMemory(request))
    }
  }

  #backOff(attempt: number): Promise<void> {
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** attempt)
    return sleep(this.opts.startTimer, this.opts.random() * maxDelayMs)
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
