/**
 * Evidence of all entry instances, summed without double counting.
 *
 * Each incarnation adds only to its own cells, and a cell only grows, so a
 * newer copy of a cell replaces an older one. Merging is idempotent and
 * commutative: copies may arrive twice, late, by several ways and in any order.
 */
import type { Clock } from '../clock.js'

/** What one incarnation saw of one subject during one epoch. */
export interface EvidenceCell {
  /** Incarnation that wrote the cell. */
  readonly source: string
  /** What the values are about. */
  readonly subject: string
  /** Number of the span of time, the same on all nodes. */
  readonly epoch: number
  /** Additions so far; the copy with more is the newer one. */
  readonly sequence: number
  /** Sums; what each place means is up to the subject. */
  readonly values: readonly number[]
}

export interface EvidenceTableOptions {
  /** This incarnation. */
  readonly source: string
  /** Wall clock, whose epochs all nodes share. */
  readonly clock: Clock
  /**
   * Length of an epoch in milliseconds.
   * @default 300_000
   */
  readonly epochMs?: number
  /**
   * Epochs whose sums are kept.
   * @default 288
   */
  readonly epochsKept?: number
  /**
   * Epochs whose cells are kept and taken in; of older ones only the sums remain,
   * so that memory doesn't grow with the number of nodes.
   * @default 6
   */
  readonly cellEpochsKept?: number
}

/** Sums of one epoch over all sources. */
export interface EpochSums {
  readonly epoch: number
  readonly values: readonly number[]
}

/** Five minutes. */
export const DEFAULT_EPOCH_MS = 300_000
const DEFAULT_EPOCHS_KEPT = 288
const DEFAULT_CELLS_KEPT = 6

/** Evidence on one subject. */
interface Subject {
  readonly cells: Map<string, EvidenceCell>
  readonly sums: Map<number, number[]>
  /** Oldest epoch that may still have cells. */
  cellsFrom: number
  /** Grows with each change. */
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
  /** Own cells that changed since they were last taken. */
  #changed = new Map<string, EvidenceCell>()
  readonly #source: string
  readonly #clock: Clock
  readonly #epochMs: number
  readonly #epochsKept: number
  readonly #cellsKept: number

  private constructor(opts: EvidenceTableOptions) {
    this.#source = opts.source
    this.#clock = opts.clock
    this.#epochMs = opts.epochMs ?? DEFAULT_EPOCH_MS
    this.#epochsKept = opts.epochsKept ?? DEFAULT_EPOCHS_KEPT
    this.#cellsKept = opts.cellEpochsKept ?? DEFAULT_CELLS_KEPT
  }

  static create(opts: EvidenceTableOptions): EvidenceTable {
    return new EvidenceTable(opts)
  }

  get epoch(): number {
    return Math.floor(this.#clock() / this.#epochMs)
  }

  /** Adds to this incarnation's cell of the present epoch. */
  add(subject: string, values: readonly number[]): void {
    const epoch = this.epoch
    const known = this.#subjects.get(subject)?.cells.get(cellKey(this.#source, epoch))
    const cell = {
      source: this.#source,
      subject,
      epoch,
      sequence: (known?.sequence ?? 0) + 1,
      values: values.map((value, i) => value + (known?.values[i] ?? 0)),
    }
    this.#put(cell, known)
    this.#changed.set(`${subject} ${epoch}`, cell)
  }

  /** Takes over the cells that are newer than what is known; returns how many were. */
  merge(cells: Iterable<EvidenceCell>): number {
    let taken = 0
    for (const cell of cells) {
      const known = this.#subjects
        .get(cell.subject)
        ?.cells.get(cellKey(cell.source, cell.epoch))
      const isOld = cell.epoch <= this.epoch - this.#cellsKept
      if (isOld || cell.sequence <= (known?.sequence ?? 0)) continue
      this.#put(cell, known)
      taken += 1
    }
    return taken
  }

  /** Own cells that changed since the last call. */
  takeChanged(): EvidenceCell[] {
    const changed = [...this.#changed.values()]
    this.#changed = new Map()
    return changed
  }

  /** Every cell that is kept, for a node that starts. */
  cells(): EvidenceCell[] {
    for (const subject of this.#subjects.values()) this.#dropOld(subject)
    return [...this.#subjects.values()].flatMap(({ cells }) => [...cells.values()])
  }

  /** Sums over all sources, oldest epoch first. */
  sums(subject: string): EpochSums[] {
    const found = this.#subjects.get(subject)
    if (!found) return []
    this.#dropOld(found)
    const sums = Array.from(found.sums, ([epoch, values]) => ({ epoch, values }))
    return sums.sort((a, b) => a.epoch - b.epoch)
  }

  /** A number that changes with the subject's evidence, for caches. */
  changesOf(subject: string): number {
    return this.#subjects.get(subject)?.changes ?? 0
  }

  /** Subjects that start with `prefix`. */
  subjects(prefix: string): string[] {
    return [...this.#subjects.keys()].filter((subject) => subject.startsWith(prefix))
  }

  /** Forgets a subject that is settled. */
  forget(subject: string): void {
    this.#subjects.delete(subject)
  }

  #put(cell: EvidenceCell, known: EvidenceCell | undefined): void {
    const subject = this.#subjects.get(cell.subject) ?? emptySubject()
    this.#subjects.set(cell.subject, subject)
    subject.cells.set(cellKey(cell.source, cell.epoch), cell)
    const sums = subject.sums.get(cell.epoch) ?? []
    for (const [i, value] of cell.values.entries()) {
      sums[i] = (sums[i] ?? 0) + value - (known?.values[i] ?? 0)
    }
    subject.sums.set(cell.epoch, sums)
    subject.changes += 1
  }

  #dropOld(subject: Subject): void {
    const oldCells = this.epoch - this.#cellsKept
    if (subject.cellsFrom > oldCells) return
    subject.cellsFrom = oldCells + 1
    for (const [key, cell] of subject.cells) {
      if (cell.epoch <= oldCells) subject.cells.delete(key)
    }
    const oldSums = this.epoch - this.#epochsKept
    for (const epoch of subject.sums.keys()) {
      if (epoch <= oldSums) subject.sums.delete(epoch)
    }
    subject.changes += 1
  }
}

function emptySubject(): Subject {
  return { cells: new Map(), sums: new Map(), cellsFrom: 0, changes: 0 }
}

function cellKey(source: string, epoch: number): string {
  return `${epoch} ${source}`
}
