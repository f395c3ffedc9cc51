/**
 * Evidence from all entry instances, summed without double counting (a CRDT).
 *
 * Each incarnation adds only to its own cells, and a cell only grows, so a
 * newer copy of a cell replaces an older one. Merging is idempotent and
 * commutative: copies may arrive repeatedly, late, by several paths and in any order.
 */
import type { Clock } from '../clock.js'

/** Sums that one incarnation recorded for one subject during one epoch. */
export interface EvidenceCell {
  /** Incarnation that wrote the cell. */
  readonly source: string
  /** Identifier of what the values measure. */
  readonly subject: string
  /** Number of the time span, the same on all nodes. */
  readonly epoch: number
  /** Number of additions so far; of two copies, the one with more is newer. */
  readonly sequence: number
  /** Sums; the meaning of each index depends on the subject. */
  readonly values: readonly number[]
}

export interface EvidenceTableOptions {
  /** Identifier of this incarnation. */
  readonly source: string
  /** Wall clock, so that all nodes have the same epochs. */
  readonly clock: Clock
  /**
   * Length of an epoch in milliseconds.
   * @default 300_000
   */
  readonly epochMs?: number
  /**
   * Number of epochs whose sums are retained.
   * @default 288
   */
  readonly epochsKept?: number
  /**
   * Number of epochs whose cells are retained and merged. Older epochs retain only their
   * sums, so that the memory for them doesn't grow with the number of nodes.
   * @default 6
   */
  readonly cellEpochsKept?: number
}

/** Sums over all sources for one epoch. */
export interface EpochSums {
  readonly epoch: number
  readonly values: readonly number[]
}

export const DEFAULT_EPOCH_MS = 300_000
const DEFAULT_EPOCHS_KEPT = 288
const DEFAULT_CELL_EPOCHS_KEPT = 6

/** Evidence for one subject. */
interface Subject {
  readonly cells: Map<string, EvidenceCell>
  readonly sums: Map<number, number[]>
  /** Oldest epoch that may still have cells in `cells`. */
  oldestCellEpoch: number
  /** Incremented with each change of the evidence. */
  changes: number
}

/**
 * Evidence by subject, epoch and source.
 *
 * @example
 * const table = EvidenceTable.create({ source: 'n1-k3', clock: wallClock })
 * table.add('quality kebele/dossier summariser@v2', [1, 0.9, 0.81])
 * other.merge(table.cells())
 */
export class EvidenceTable {
  readonly #subjects = new Map<string, Subject>()
  /** Own cells that changed since the last `takeChanged`. */
  #changed = new Map<string, EvidenceCell>()
  readonly #source: string
  readonly #clock: Clock
  readonly #epochMs: number
  readonly #epochsKept: number
  readonly #cellEpochsKept: number

  private constructor(opts: EvidenceTableOptions) {
    this.#source = opts.source
    this.#clock = opts.clock
    this.#epochMs = opts.epochMs ?? DEFAULT_EPOCH_MS
    this.#epochsKept = opts.epochsKept ?? DEFAULT_EPOCHS_KEPT
    this.#cellEpochsKept = opts.cellEpochsKept ?? DEFAULT_CELL_EPOCHS_KEPT
  }

  static create(opts: EvidenceTableOptions): EvidenceTable {
    return new EvidenceTable(opts)
  }

  get epoch(): number {
    return Math.floor(this.#clock() / this.#epochMs)
  }

  /** Adds to this incarnation's cell of the current epoch. */
  add(subject: string, values: readonly number[]): void {
    const epoch = this.epoch
    const previous = this.#subjects.get(subject)?.cells.get(cellKey(this.#source, epoch))
    const cell = {
      source: this.#source,
      subject,
      epoch,
      sequence: (previous?.sequence ?? 0) + 1,
      values: values.map((value, i) => value + (previous?.values[i] ?? 0)),
    }
    this.#put(cell, previous)
    this.#changed.set(`${subject} ${epoch}`, cell)
  }

  /** Applies the cells that are newer than the stored copies; returns their number. */
  merge(cells: Iterable<EvidenceCell>): number {
    let applied = 0
    for (const cell of cells) {
      const stored = this.#subjects
        .get(cell.subject)
        ?.cells.get(cellKey(cell.source, cell.epoch))
      const isOld = cell.epoch <= this.epoch - this.#cellEpochsKept
      if (isOld || cell.sequence <= (stored?.sequence ?? 0)) continue
      this.#put(cell, stored)
      applied += 1
    }
    return applied
  }

  /** Returns the own cells that changed since the last call. */
  takeChanged(): EvidenceCell[] {
    const changed = [...this.#changed.values()]
    this.#changed = new Map()
    return changed
  }

  /** All retained cells, for the initial transfer to a starting node. */
  cells(): EvidenceCell[] {
    for (const subject of this.#subjects.values()) this.#dropOld(subject)
    return [...this.#subjects.values()].flatMap(({ cells }) => [...cells.values()])
  }

  /** Sums over all sources, oldest epoch first. */
  sums(subject: string): EpochSums[] {
    const entry = this.#subjects.get(subject)
    if (!entry) return []
    this.#dropOld(entry)
    const sums = Array.from(entry.sums, ([epoch, values]) => ({ epoch, values }))
    return sums.sort((a, b) => a.epoch - b.epoch)
  }

  /** Number of changes of a subject's evidence so far, for invalidating caches. */
  changesOf(subject: string): number {
    return this.#subjects.get(subject)?.changes ?? 0
  }

  /** Subjects that start with `prefix`. */
  subjects(prefix: string): string[] {
    return [...this.#subjects.keys()].filter((subject) => subject.startsWith(prefix))
  }

  /** Removes a subject that is no longer needed. */
  remove(subject: string): void {
    this.#subjects.delete(subject)
  }

  #put(cell: EvidenceCell, previous: EvidenceCell | undefined): void {
    const subject = this.#subjects.get(cell.subject) ?? emptySubject()
    this.#subjects.set(cell.subject, subject)
    subject.cells.set(cellKey(cell.source, cell.epoch), cell)
    const sums = subject.sums.get(cell.epoch) ?? []
    for (const [i, value] of cell.values.entries()) {
      sums[i] = (sums[i] ?? 0) + value - (previous?.values[i] ?? 0)
    }
    subject.sums.set(cell.epoch, sums)
    subject.changes += 1
  }

  #dropOld(subject: Subject): void {
    const newestOldCellEpoch = this.epoch - this.#cellEpochsKept
    if (subject.oldestCellEpoch > newestOldCellEpoch) return
    subject.oldestCellEpoch = newestOldCellEpoch + 1
    for (const [key, cell] of subject.cells) {
      if (cell.epoch <= newestOldCellEpoch) subject.cells.delete(key)
    }
    const newestOldSumEpoch = this.epoch - this.#epochsKept
    for (const epoch of subject.sums.keys()) {
      if (epoch <= newestOldSumEpoch) subject.sums.delete(epoch)
    }
    subject.changes += 1
  }
}

function emptySubject(): Subject {
  return { cells: new Map(), sums: new Map(), oldestCellEpoch: 0, changes: 0 }
}

function cellKey(source: string, epoch: number): string {
  return `${epoch} ${source}`
}
