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
   * Number of newest epochs whose sums are retained.
   * @default 288
   */
  readonly retentionEpochs?: number
  /**
   * Number of newest epochs whose cells are retained and merged. Older epochs retain only
   * their sums, so that the memory for them doesn't grow with the number of nodes.
   * @default 6
   */
  readonly cellRetentionEpochs?: number
}

/** Sums over all sources for one epoch. */
export interface EpochSums {
  readonly epoch: number
  readonly values: readonly number[]
}

export const DEFAULT_EPOCH_MS = 300_000
const DEFAULT_RETENTION_EPOCHS = 288
const DEFAULT_CELL_RETENTION_EPOCHS = 6

/** Evidence for one subject. */
interface SubjectEntry {
  readonly cells: Map<string, EvidenceCell>
  readonly sums: Map<number, number[]>
  /** Oldest epoch that may still have cells in `cells`. */
  oldestCellEpoch: number
  /** Incremented with each change of the evidence. */
  changeCount: number
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
  readonly #subjects = new Map<string, SubjectEntry>()
  /** Own cells that changed since the last `takeChanged`. */
  #changed = new Map<string, EvidenceCell>()
  readonly #source: string
  readonly #clock: Clock
  readonly #epochMs: number
  readonly #retentionEpochs: number
  readonly #cellRetentionEpochs: number

  private constructor(opts: EvidenceTableOptions) {
    this.#source = opts.source
    this.#clock = opts.clock
    this.#epochMs = opts.epochMs ?? DEFAULT_EPOCH_MS
    this.#retentionEpochs = opts.retentionEpochs ?? DEFAULT_RETENTION_EPOCHS
    this.#cellRetentionEpochs = opts.cellRetentionEpochs ?? DEFAULT_CELL_RETENTION_EPOCHS
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
      const isOld = cell.epoch <= this.epoch - this.#cellRetentionEpochs
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
    for (const subjectEntry of this.#subjects.values()) this.#dropOld(subjectEntry)
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
  changeCountOf(subject: string): number {
    return this.#subjects.get(subject)?.changeCount ?? 0
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
    const subjectEntry = this.#subjects.get(cell.subject) ?? emptyEntry()
    this.#subjects.set(cell.subject, subjectEntry)
    subjectEntry.cells.set(cellKey(cell.source, cell.epoch), cell)
    const sums = subjectEntry.sums.get(cell.epoch) ?? []
    for (const [i, value] of cell.values.entries()) {
      sums[i] = (sums[i] ?? 0) + value - (previous?.values[i] ?? 0)
    }
    subjectEntry.sums.set(cell.epoch, sums)
    subjectEntry.changeCount += 1
  }

  #dropOld(subjectEntry: SubjectEntry): void {
    const newestOldCellEpoch = this.epoch - this.#cellRetentionEpochs
    if (subjectEntry.oldestCellEpoch > newestOldCellEpoch) return
    subjectEntry.oldestCellEpoch = newestOldCellEpoch + 1
    for (const [key, cell] of subjectEntry.cells) {
      if (cell.epoch <= newestOldCellEpoch) subjectEntry.cells.delete(key)
    }
    const newestOldSumEpoch = this.epoch - this.#retentionEpochs
    for (const epoch of subjectEntry.sums.keys()) {
      if (epoch <= newestOldSumEpoch) subjectEntry.sums.delete(epoch)
    }
    subjectEntry.changeCount += 1
  }
}

function emptyEntry(): SubjectEntry {
  return { cells: new Map(), sums: new Map(), oldestCellEpoch: 0, changeCount: 0 }
}

function cellKey(source: string, epoch: number): string {
  return `${epoch} ${source}`
}
