/**
 * Values spread by gossip; the latest value of each key and incarnation wins.
 *
 * Intended for counters that only grow: each incarnation publishes its own totals, so
 * values that arrive twice, late or out of order have no effect.
 */
import type { Clock } from '../clock.js'

/** One value of one incarnation. */
export interface LatestValue {
  readonly key: string
  readonly incarnation: string
  /** Incremented with each change; a higher version replaces a lower one. */
  readonly version: number
  /** The value as JSON. */
  readonly value: string
}

export interface LatestValuesOptions {
  readonly clock: Clock
  /**
   * Maximum size of the values in one message, in bytes.
   * @default 400
   */
  readonly bytesPerMessage?: number
  /**
   * Number of messages in which each node forwards a change.
   * @default 10
   */
  readonly sendsPerChange?: number
  /**
   * Time without a change after which a value is removed, in milliseconds.
   * @default 86_400_000
   */
  readonly retentionMs?: number
}

interface Entry {
  value: LatestValue
  changedAtMs: number
  remainingSends: number
}

/** Encoding overhead of a value besides its strings, in bytes. */
const OVERHEAD_BYTES = 12

/**
 * Latest values of all incarnations that this node knows.
 *
 * @example
 * const values = LatestValues.create({ clock: monotonicClock })
 * values.publish({ key: 'dossier|m@v2', incarnation, version: 3, value: '{"count":3}' })
 * values.getAll('dossier|m@v2')
 */
export class LatestValues {
  readonly #entries = new Map<string, Map<string, Entry>>()
  readonly #pending = new Set<Entry>()
  #repairQueue: Entry[] = []

  private constructor(private readonly opts: LatestValuesOptions) {}

  static create(opts: LatestValuesOptions): LatestValues {
    return new LatestValues(opts)
  }

  /** Publishes a value of this node's own incarnation. */
  publish(value: LatestValue): void {
    this.#merge(value)
  }

  /** Applies the values of a message. */
  receive(values: readonly LatestValue[]): void {
    for (const value of values) this.#merge(value)
  }

  /** The latest value of a key from each incarnation. */
  getAll(key: string): LatestValue[] {
    return [...(this.#entries.get(key)?.values() ?? [])].map(({ value }) => value)
  }

  /** Values for the next message: changes first, then one unchanged value as a repair. */
  next(): LatestValue[] {
    let remainingBytes = this.opts.bytesPerMessage ?? 400
    const batch: LatestValue[] = []
    for (const entry of [...this.#pending, ...this.#takeRepair()]) {
      remainingBytes -= sizeOf(entry.value)
      if (remainingBytes < 0) break
      batch.push(entry.value)
      entry.remainingSends -= 1
      if (entry.remainingSends <= 0) this.#pending.delete(entry)
    }
    return batch
  }

  /** Removes values that haven't changed for the retention time. */
  removeExpired(): void {
    const expiredBeforeMs = this.opts.clock() - (this.opts.retentionMs ?? 86_400_000)
    for (const byIncarnation of this.#entries.values()) {
      for (const [incarnation, entry] of byIncarnation) {
        if (entry.changedAtMs < expiredBeforeMs) byIncarnation.delete(incarnation)
      }
    }
  }

  #merge(value: LatestValue): void {
    const byIncarnation = this.#entries.get(value.key) ?? new Map<string, Entry>()
    this.#entries.set(value.key, byIncarnation)
    const existing = byIncarnation.get(value.incarnation)
    if (existing && existing.value.version >= value.version) return
    if (existing) this.#pending.delete(existing)
    const { key, incarnation, version, value: json } = value
    const entry = {
      value: { key, incarnation, version, value: json },
      changedAtMs: this.opts.clock(),
      remainingSends: this.opts.sendsPerChange ?? 10,
    }
    byIncarnation.set(incarnation, entry)
    this.#pending.add(entry)
  }

  /**
   * Takes one value per message, in turn, so that a node that missed a change eventually
   * receives it.
   */
  #takeRepair(): Entry[] {
    if (this.#repairQueue.length === 0) {
      this.#repairQueue = [...this.#entries.values()].flatMap((entries) => [
        ...entries.values(),
      ])
    }
    const entry = this.#repairQueue.pop()
    return entry && !this.#pending.has(entry) ? [entry] : []
  }
}

function sizeOf({ key, incarnation, value }: LatestValue): number {
  return key.length + incarnation.length + value.length + OVERHEAD_BYTES
}
