/** A part of the memory of a process, divided among workspaces by their need. */
import type { ByteBudget, Clock } from '@wagtailway/core'

/**
 * Multiple of the free memory up to which a workspace may hold memory, by priority; zero is
 * the most urgent.
 */
const MAX_FREE_MULTIPLES = [4, 2, 1] as const

/** Share of the memory from which it is short. */
const SHORT_RATIO = 0.75

/** Time after a refusal for which memory counts as short, in milliseconds. */
const SHORT_AFTER_REFUSAL_MS = 6_000

/** Time without progress after which a transfer ends while memory is short, in milliseconds. */
const STALLED_MS = 3_000

/** Time over which the speed is measured at which memory is released, in milliseconds. */
const DRAIN_WINDOW_MS = 1_000

/**
 * Time in which the whole share drains at the least, in milliseconds: until bodies have
 * drained it isn't known how fast they do.
 */
const MAX_DRAIN_MS = 4_000

/** Shortest and longest delay after which a refused caller returns, in milliseconds. */
const MIN_RETURN_MS = 50
const MAX_RETURN_MS = 3_000

/** What waits for another party while it holds memory. */
export interface Transfer {
  /** Returns the bytes that have been transferred; `undefined` if it doesn't wait. */
  readonly progress: () => number | undefined
  /** Ends it, and with it what it holds. */
  readonly end: (stalledMs: number) => void
}

export interface MemoryHolder {
  /** Empty for all callers without a workspace together. */
  readonly workspace: string
  /** Zero is the most urgent. */
  readonly priority: number
}

/** What one request holds of a share. */
export interface MemoryHold extends ByteBudget {
  readonly heldBytes: number
  /** Lets a transfer be ended that stands still while memory is short. */
  watch(transfer: Transfer): void
  /** Undoes `watch`. */
  unwatch(): void
  /** Keeps all that is held beyond `close`, until the returned function is called. */
  retain(): () => void
  /** Releases all that is held, once it isn't retained. */
  close(): void
}

/**
 * Memory for one purpose. A workspace may take memory while it holds at most a multiple of
 * what stays free, the higher the more urgent it is. With priority 0, 1 and 2 one workspace
 * alone gets 4/5, 2/3 and 1/2 of the share; n workspaces of priority 1 that take all they can
 * leave 1/(2n + 1) of it free, of which the next one gets 2/3 at once.
 *
 * @example
 * const share = MemoryShare.create(67_108_864, clock)
 * const hold = share.open({ workspace: 'team', priority: 1 })
 * if (!hold.tryReserve(4_000_000)) refuse(share.returnDelayMs(4_000_000))
 * hold.close()
 */
export class MemoryShare {
  #heldBytes = 0
  readonly #usageByWorkspace = new Map<string, Usage>()
  readonly #watched = new Map<Hold, Watch>()
  /** Last refusal to a workspace that didn't hold most of the memory. */
  #refusedAtMs = -Infinity
  /** Released bytes, which decay over `DRAIN_WINDOW_MS`. */
  #drainedBytes = 0
  #drainedAtMs = 0
  /** When memory is expected to have drained for all callers that were told to return. */
  #returnAtMs = 0

  private constructor(
    readonly maxBytes: number,
    private readonly clock: Clock,
  ) {}

  static create(maxBytes: number, clock: Clock): MemoryShare {
    return new MemoryShare(maxBytes, clock)
  }

  /** Bytes that are held by all workspaces together; at most `maxBytes`. */
  get heldBytes(): number {
    return this.#heldBytes
  }

  /** Begins to hold memory for one request; holds none until it is reserved. */
  open(holder: MemoryHolder): MemoryHold {
    return new Hold(this, holder)
  }

  /**
   * Time until as many bytes are likely to be free, in milliseconds: the time in which they
   * drain as fast as in the last second, after those of all callers told before. Where these
   * would have to wait too long, they are spread over the second half of the longest delay.
   */
  returnDelayMs(bytes: number): number {
    const nowMs = this.clock()
    const bytesPerMs = Math.max(
      this.#decayedDrain(nowMs) / DRAIN_WINDOW_MS,
      this.maxBytes / MAX_DRAIN_MS,
    )
    this.#returnAtMs = Math.max(nowMs, this.#returnAtMs) + bytes / bytesPerMs
    if (this.#returnAtMs > nowMs + MAX_RETURN_MS)
      this.#returnAtMs = nowMs + MAX_RETURN_MS / 2
    return Math.max(MIN_RETURN_MS, this.#returnAtMs - nowMs)
  }

  /**
   * Ends transfers that stand still where memory is short: little is left, or it has been
   * refused. A refusal to the workspace that holds most ends only its own transfers. Has to
   * be called at intervals far shorter than `STALLED_MS`.
   */
  endStalled(): void {
    const nowMs = this.clock()
    for (const [hold, watch] of [...this.#watched]) {
      const progress = watch.transfer.progress()
      const isMoving = progress === undefined || progress !== watch.seenProgress
      watch.seenProgress = progress
      // What stood still before memory was short gets its time once it is.
      if (isMoving || !this.#isShortFor(hold.holder, nowMs)) watch.seenAtMs = nowMs
      else if (nowMs - watch.seenAtMs >= STALLED_MS) {
        hold.unwatch()
        watch.transfer.end(nowMs - watch.seenAtMs)
      }
    }
  }

  /** @internal */
  tryTake({ workspace, priority }: MemoryHolder, bytes: number): boolean {
    const usage = this.#usageByWorkspace.get(workspace)
    const ownBytes = usage?.bytes ?? 0
    const freeBytes = this.maxBytes - this.#heldBytes - bytes
    if (ownBytes + bytes > freeBytes * maxFreeMultiple(priority)) {
      if (usage && ownBytes * 2 > this.#heldBytes) usage.refusedAtMs = this.clock()
      else this.#refusedAtMs = this.clock()
      return false
    }
    this.#heldBytes += bytes
    if (usage) usage.bytes += bytes
    else this.#usageByWorkspace.set(workspace, { bytes, refusedAtMs: -Infinity })
    return true
  }

  /** @internal */
  give({ workspace }: MemoryHolder, bytes: number): void {
    const usage = this.#usageByWorkspace.get(workspace)
    this.#heldBytes -= bytes
    if (usage) usage.bytes -= bytes
    if (usage?.bytes === 0) this.#usageByWorkspace.delete(workspace)
    const nowMs = this.clock()
    this.#drainedBytes = this.#decayedDrain(nowMs) + bytes
    this.#drainedAtMs = nowMs
  }

  /** @internal */
  setWatch(hold: Hold, transfer: Transfer | undefined): void {
    if (transfer)
      this.#watched.set(hold, { transfer, seenProgress: undefined, seenAtMs: 0 })
    else this.#watched.delete(hold)
  }

  #isShortFor({ workspace }: MemoryHolder, nowMs: number): boolean {
    if (this.#heldBytes > this.maxBytes * SHORT_RATIO) return true
    const ownRefusedAtMs = this.#usageByWorkspace.get(workspace)?.refusedAtMs ?? -Infinity
    const refusedAtMs = Math.max(this.#refusedAtMs, ownRefusedAtMs)
    return nowMs - refusedAtMs < SHORT_AFTER_REFUSAL_MS
  }

  #decayedDrain(nowMs: number): number {
    return this.#drainedBytes * Math.exp((this.#drainedAtMs - nowMs) / DRAIN_WINDOW_MS)
  }
}

/** What one workspace holds. */
interface Usage {
  bytes: number
  /** Last refusal to it while it held most of the memory. */
  refusedAtMs: number
}

interface Watch {
  readonly transfer: Transfer
  /** Progress at the last look; `undefined` before the first one. */
  seenProgress: number | undefined
  /** Last look at which it moved or memory wasn't short. */
  seenAtMs: number
}

class Hold implements MemoryHold {
  heldBytes = 0
  #isWatched = false
  #isClosed = false
  #retainCount = 0

  constructor(
    private readonly share: MemoryShare,
    readonly holder: MemoryHolder,
  ) {}

  tryReserve(bytes: number): boolean {
    if (bytes > 0 && !this.share.tryTake(this.holder, bytes)) return false
    this.heldBytes += bytes
    return true
  }

  release(bytes: number): void {
    if (bytes === 0) return
    this.heldBytes -= bytes
    this.share.give(this.holder, bytes)
  }

  watch(transfer: Transfer): void {
    this.#isWatched = true
    this.share.setWatch(this, transfer)
  }

  unwatch(): void {
    if (this.#isWatched) this.share.setWatch(this, undefined)
    this.#isWatched = false
  }

  retain(): () => void {
    this.#retainCount += 1
    let isRetained = true
    return () => {
      if (!isRetained) return
      isRetained = false
      this.#retainCount -= 1
      if (this.#isClosed) this.close()
    }
  }

  close(): void {
    this.#isClosed = true
    if (this.#retainCount > 0) return
    this.unwatch()
    this.release(this.heldBytes)
  }
}

function maxFreeMultiple(priority: number): number {
  const last = MAX_FREE_MULTIPLES.length - 1
  const index = Math.min(last, Math.max(0, Math.floor(priority)))
  return MAX_FREE_MULTIPLES[index] ?? 1
}
