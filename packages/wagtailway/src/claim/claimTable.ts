/**
 * Claims on keys, decided by conditional updates of platform objects.
 *
 * Keys are grouped into ranges, one object each. Claims that arrive while a
 * write of their range is under way share the next one, so that the number of
 * writes depends on time and not on requests. Safety rests on the conditional
 * update alone: any number of nodes may write the same range.
 */
import type { Clock } from '../clock.js'
import { Channel, settle, spawn } from '../csp/channel.js'
import { hash32 } from '../hash.js'
import type { ObjectStore } from '../platform/objectStore.js'
import { z } from 'zod'

const entrySchema = z.object({
  holder: z.string(),
  value: z.string(),
  /** When the claim was made, in milliseconds since the epoch. */
  atMs: z.number(),
})

const rangeSchema = z.record(z.string(), entrySchema)

type RangeEntries = z.infer<typeof rangeSchema>

export interface ClaimRequest {
  readonly key: string
  /** Who claims; the same holder is granted again. */
  readonly holder: string
  /** Kept with the claim and told to later claimants. */
  readonly value: string
}

export type ClaimVerdict =
  | { readonly type: 'granted' }
  | { readonly type: 'held'; readonly holder: string; readonly value: string }
  | { readonly type: 'unavailable' }

export interface ClaimTableOptions {
  readonly store: ObjectStore
  /** Kind of the platform objects. */
  readonly kind: 'claim' | 'session'
  /**
   * Number of ranges; the same on every node for ever.
   * @default 16
   */
  readonly ranges?: number
  /**
   * Age after which a claim is dropped, in milliseconds.
   * @default 3_600_000
   */
  readonly retentionMs?: number
  readonly wallClock: Clock
}

interface Pending {
  readonly request: ClaimRequest
  readonly decide: (verdict: ClaimVerdict) => void
}

/** Attempts of one group before its claims are unavailable. */
const MAX_ATTEMPTS = 4

/** Claims that may wait for one range. */
const MAX_WAITING = 512

/**
 * Grants each key to one holder.
 *
 * @example
 * const claims = ClaimTable.create({ store, kind: 'claim', wallClock })
 * const verdict = await claims.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class ClaimTable {
  readonly #ranges: readonly ClaimRange[]

  private constructor(opts: ClaimTableOptions) {
    const count = opts.ranges ?? 16
    this.#ranges = Array.from({ length: count }, (_, i) =>
      ClaimRange.create(`r${i}`, opts),
    )
  }

  static create(opts: ClaimTableOptions): ClaimTable {
    return new ClaimTable(opts)
  }

  /** Claims a key. Unavailable means that the claim must be treated as not granted. */
  claim(request: ClaimRequest): Promise<ClaimVerdict> {
    const index = hash32(request.key) % this.#ranges.length
    const range = this.#ranges[index]
    return range ? range.claim(request) : Promise.resolve({ type: 'unavailable' })
  }

  close(): void {
    for (const range of this.#ranges) range.close()
  }
}

class ClaimRange {
  readonly #waiting = Channel.create<Pending>(MAX_WAITING)
  #entries: RangeEntries = {}
  #revision = 0

  private constructor(
    private readonly name: string,
    private readonly opts: ClaimTableOptions,
  ) {
    spawn(
      () => this.#loop(),
      (err) => {
        throw err
      },
    )
  }

  static create(name: string, opts: ClaimTableOptions): ClaimRange {
    return new ClaimRange(name, opts)
  }

  claim(request: ClaimRequest): Promise<ClaimVerdict> {
    return new Promise((resolve) => {
      const queued = this.#waiting.offer({ request, decide: resolve })
      if (!queued) resolve({ type: 'unavailable' })
    })
  }

  close(): void {
    this.#waiting.close()
  }

  *#loop(): Generator {
    for (;;) {
      const first = yield* this.#waiting.take()
      if (!first) return
      const group = [first, ...this.#drain()]
      const outcome = yield* settle(this.#decideGroup(group))
      if ('err' in outcome) decideAll(group, { type: 'unavailable' })
    }
  }

  #drain(): Pending[] {
    const group: Pending[] = []
    for (let next = this.#waiting.poll(); next; next = this.#waiting.poll()) {
      group.push(next)
    }
    return group
  }

  async #decideGroup(group: readonly Pending[]): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const next = this.#withGroup(group)
      const written = await this.opts.store.put(
        this.opts.kind,
        this.name,
        next,
        this.#revision,
      )
      if (written.ok) {
        this.#entries = next
        this.#revision = written.val.revision
        this.#answer(group)
        return
      }
      // A lost confirmation may hide a write that took effect: read before the next try.
      await this.#reload()
    }
    decideAll(group, { type: 'unavailable' })
  }

  #withGroup(group: readonly Pending[]): RangeEntries {
    const atMs = this.opts.wallClock()
    const oldest = atMs - (this.opts.retentionMs ?? 3_600_000)
    const kept = Object.entries(this.#entries).filter(([, entry]) => entry.atMs >= oldest)
    const next = Object.fromEntries(kept)
    for (const { request } of group) {
      next[request.key] ??= { holder: request.holder, value: request.value, atMs }
    }
    return next
  }

  #answer(group: readonly Pending[]): void {
    for (const { request, decide } of group) {
      const entry = this.#entries[request.key]
      if (entry?.holder === request.holder) decide({ type: 'granted' })
      else if (entry) decide({ type: 'held', holder: entry.holder, value: entry.value })
      else decide({ type: 'unavailable' })
    }
  }

  async #reload(): Promise<void> {
    const read = await this.opts.store.get(this.opts.kind, this.name)
    if (read.err) return
    const object = read.val
    this.#revision = object?.revision ?? 0
    this.#entries = rangeSchema.parse(object?.value ?? {})
  }
}

function decideAll(group: readonly Pending[], verdict: ClaimVerdict): void {
  for (const { decide } of group) decide(verdict)
}
