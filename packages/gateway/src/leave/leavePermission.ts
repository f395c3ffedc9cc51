/**
 * Which entry instances may drain after an error that no code handles, so that one cause at
 * all instances doesn't take all of them out at once.
 *
 * By the reports: at most a third is out, and those that want to leave go in an order that all
 * share. A silent instance counts as out, so a lost report can only delay. An instance to
 * which at least half of the fleet has been silent for a while goes by turns of the wall clock
 * instead: a turn admits a part of the fleet and outlasts a drain and a restart.
 */
import { hash32, type Clock } from '@wagtailway/core'

/** Part of the fleet that may be out: one in this number. */
const OUT_DIVISOR = 3

/** Smallest fleet that keeps two thirds when one instance leaves. */
const MIN_FLEET_SIZE = 3

/**
 * Number of turns in a cycle. A fifth, rounded up, is at most a third, rounded down, of any
 * fleet from three instances on.
 */
const TURNS = 5

/** Length of a turn, and the time from its start in which a drain may begin, in milliseconds. */
const TURN_MS = 30_000
const ENTRY_MS = 5_000
const CYCLE_MS = TURNS * TURN_MS

/**
 * Least time between the start of a process and its drain after an error, in milliseconds: an
 * error that comes back at each start costs little capacity, and the process has heard the
 * others by then.
 */
const MIN_LIFE_MS = 600_000

/** Age of a wish from which silent instances no longer count as out, in milliseconds. */
const OVERDUE_MS = 600_000

/** Time without a report after which an instance is silent: least, and in reports. */
const MIN_SILENT_MS = 4_500
const SILENT_REPORTS = 3

/**
 * Least age of a wish, in multiples of the time until an instance is silent: each instance then
 * is silent, or has told of a drain, or knows the wish and has told its own.
 */
const KNOWN_SILENCES = 2

/**
 * Time without a report after which an instance that drained no longer belongs to the fleet:
 * least, in milliseconds, and in reports.
 */
const MIN_GONE_MS = 60_000
const GONE_REPORTS = 6

/**
 * The same for one that has told of no drain, in milliseconds. It may be cut off and go by its
 * turns, so it counts for longer than that takes.
 */
const SILENT_MEMORY_MS = 900_000

/** Time until the next ask if only reports can change the decision, in milliseconds. */
const ASK_AGAIN_MS = 1_000

/** What a report tells about leaving. */
export interface LeaveReport {
  readonly name: string
  /** Whether the instance drains, for a planned stop or after an error. */
  readonly isDraining: boolean
  /** Age of its wish to leave; `undefined` without one and from earlier builds. */
  readonly wishAgeMs: number | undefined
}

export interface LeaveOptions {
  readonly name: string
  /** Monotonic time. */
  readonly clock: Clock
  /** Wall clock; the same at all instances up to about a second. */
  readonly wallClock: Clock
  /** Longest time between two reports of one instance to another, in milliseconds. */
  readonly reportIntervalMs: () => number
}

/** Why an instance may not leave now. */
export type LeaveObstacle =
  /** It has no wish to leave. */
  | 'no_wish'
  /** Its process has not lived long enough. */
  | 'young'
  /** The others may not know its wish yet. */
  | 'untold'
  /** So few instances stay for good. */
  | 'few_instances'
  /** As many are out, or go first, as may be. */
  | 'others_out'
  /** It is cut off and waits for its turn. */
  | 'not_its_turn'

export type LeaveDecision =
  | { readonly mayLeave: true }
  | {
      readonly mayLeave: false
      readonly obstacle: LeaveObstacle
      readonly askAgainMs: number
    }

interface Peer {
  readonly hash: number
  heardAtMs: number
  /** Start of the time in which it has not been silent. */
  heardSinceMs: number
  isDraining: boolean
  wantsToLeave: boolean
}

/** The instances that belong to the fleet, as this one knows them. */
interface Fleet {
  /** Their number, with this one. */
  readonly size: number
  readonly drainingCount: number
  readonly silentCount: number
  /**
   * Number of those that have been silent for so long that all are back that left before they
   * knew of the silence.
   */
  readonly lostCount: number
  /** Number of those that are silent, or were until so lately that they may not know this one's wish. */
  readonly unsureCount: number
  /** Number of those that come before this one in the shared order. */
  readonly rank: number
  /** Number of those before this one that want to leave too. */
  readonly firstCount: number
}

/**
 * Decides when one instance may leave after an error.
 *
 * @example
 * const permission = LeavePermission.create({ name, clock, wallClock, reportIntervalMs })
 * permission.applyReport({ name: 'n2', isDraining: false, wishAgeMs: undefined })
 * permission.requestLeave()
 * permission.mayLeave() // false until the others know the wish and enough of them serve
 */
export class LeavePermission {
  readonly #peers = new Map<string, Peer>()
  readonly #hash: number
  readonly #startedAtMs: number
  #wishedAtMs: number | undefined
  #isGranted = false

  private constructor(private readonly opts: LeaveOptions) {
    this.#hash = hash32(opts.name)
    this.#startedAtMs = opts.clock()
  }

  /** Creates the state of a process that has just started. */
  static create(opts: LeaveOptions): LeavePermission {
    return new LeavePermission(opts)
  }

  /** Applies the latest report of another instance. */
  applyReport({ name, isDraining, wishAgeMs }: LeaveReport): void {
    if (name === this.opts.name) return
    const nowMs = this.opts.clock()
    const known = this.#peers.get(name)
    const peer = known ?? {
      hash: hash32(name),
      heardAtMs: nowMs,
      heardSinceMs: nowMs,
      isDraining: false,
      wantsToLeave: false,
    }
    if (isSilent(peer, nowMs - this.#silentAfterMs)) peer.heardSinceMs = nowMs
    peer.heardAtMs = nowMs
    peer.isDraining = isDraining
    peer.wantsToLeave = wishAgeMs !== undefined && !isDraining
    if (!known) this.#peers.set(name, peer)
  }

  /** Notes the wish to leave; a later call changes nothing. */
  requestLeave(): void {
    this.#wishedAtMs ??= this.opts.clock()
  }

  /**
   * Age of the wish for the report, in milliseconds; `undefined` without one, and as long as
   * the process is too young to leave, so that no other instance waits for it.
   */
  get wishAgeMs(): number | undefined {
    const ageMs = this.#usableWishAgeMs
    return ageMs === undefined || ageMs < 0 ? undefined : ageMs
  }

  /**
   * Whether this instance may begin its drain now. Once true, it stays true. A planned stop
   * doesn't ask.
   */
  mayLeave(): boolean {
    return this.decide().mayLeave
  }

  /** The same, with the obstacle and the time after which the next ask is of use. */
  decide(): LeaveDecision {
    if (this.#isGranted) return { mayLeave: true }
    const ageMs = this.#usableWishAgeMs
    if (ageMs === undefined) return refuse('no_wish')
    if (ageMs < 0) return refuse('young', -ageMs)
    const untoldMs = this.#knownAfterMs - ageMs
    if (untoldMs > 0) return refuse('untold', untoldMs)
    const fleet = this.#viewFleet()
    if (fleet.size < MIN_FLEET_SIZE) return refuse('few_instances')
    const isCutOff = fleet.size - fleet.lostCount <= fleet.lostCount
    if (isCutOff || ageMs >= OVERDUE_MS) {
      const turnInMs = this.#turnInMs(fleet)
      if (turnInMs > 0) return refuse('not_its_turn', turnInMs)
      // One of a group too small for a third goes all the same: the turn bounds the groups.
      const heardCount = fleet.size - fleet.silentCount
      const mayBeOut = Math.max(1, Math.floor(heardCount / OUT_DIVISOR))
      const firstCount = Math.min(fleet.firstCount, countBeforeInTurn(fleet))
      if (fleet.drainingCount + firstCount >= mayBeOut) return refuse('others_out')
    } else {
      const outCount = fleet.drainingCount + fleet.unsureCount
      const mayBeOut = Math.floor(fleet.size / OUT_DIVISOR)
      if (outCount + fleet.firstCount >= mayBeOut) return refuse('others_out')
    }
    this.#isGranted = true
    return { mayLeave: true }
  }

  /** Counted from the time at which the process is old enough; negative before. */
  get #usableWishAgeMs(): number | undefined {
    if (this.#wishedAtMs === undefined) return undefined
    const usableAtMs = Math.max(this.#wishedAtMs, this.#startedAtMs + MIN_LIFE_MS)
    return this.opts.clock() - usableAtMs
  }

  get #knownAfterMs(): number {
    return KNOWN_SILENCES * this.#silentAfterMs
  }

  get #silentAfterMs(): number {
    return Math.max(MIN_SILENT_MS, SILENT_REPORTS * this.opts.reportIntervalMs())
  }

  /** Time until a drain may begin by the turns; zero if now. */
  #turnInMs({ rank, size }: Fleet): number {
    const startsAtMs = turnOf(rank, size) * TURN_MS
    const passedMs = modulo(this.opts.wallClock() - startsAtMs, CYCLE_MS)
    return passedMs < ENTRY_MS ? 0 : CYCLE_MS - passedMs
  }

  #viewFleet(): Fleet {
    const nowMs = this.opts.clock()
    this.#removeGone(nowMs)
    const silentBeforeMs = nowMs - this.#silentAfterMs
    let drainingCount = 0
    const heardBeforeMs = nowMs - this.#knownAfterMs
    const lostBeforeMs = silentBeforeMs - TURN_MS
    let silentCount = 0
    let lostCount = 0
    let unsureCount = 0
    let rank = 0
    let firstCount = 0
    for (const [name, peer] of this.#peers) {
      const isBefore = this.#isBefore(name, peer)
      if (isBefore) rank += 1
      if (peer.isDraining) drainingCount += 1
      else if (isSilent(peer, silentBeforeMs)) {
        silentCount += 1
        unsureCount += 1
        if (isSilent(peer, lostBeforeMs)) lostCount += 1
      } else if (peer.heardSinceMs > heardBeforeMs) unsureCount += 1
      else if (isBefore && peer.wantsToLeave) firstCount += 1
    }
    const size = this.#peers.size + 1
    return { size, drainingCount, silentCount, lostCount, unsureCount, rank, firstCount }
  }

  #removeGone(nowMs: number): void {
    const { reportIntervalMs } = this.opts
    const goneAfterMs = Math.max(MIN_GONE_MS, GONE_REPORTS * reportIntervalMs())
    for (const [name, { heardAtMs, isDraining }] of this.#peers) {
      const keptMs = isDraining ? goneAfterMs : SILENT_MEMORY_MS
      if (nowMs - heardAtMs > keptMs) this.#peers.delete(name)
    }
  }

  #isBefore(name: string, { hash }: Peer): boolean {
    if (hash === this.#hash) return name < this.opts.name
    return hash < this.#hash
  }
}

/** Silent is one that is not heard and has not told of a drain. */
function isSilent({ heardAtMs, isDraining }: Peer, beforeMs: number): boolean {
  return !isDraining && heardAtMs < beforeMs
}

/** Number of the turn of an instance, from zero. */
function turnOf(rank: number, size: number): number {
  return Math.floor((rank * TURNS) / size)
}

/** Number of those with the same turn that come before this one in the shared order. */
function countBeforeInTurn({ rank, size }: Fleet): number {
  return rank - Math.ceil((turnOf(rank, size) * size) / TURNS)
}

function refuse(obstacle: LeaveObstacle, askAgainMs = ASK_AGAIN_MS): LeaveDecision {
  return { mayLeave: false, obstacle, askAgainMs }
}

/** Remainder that is never negative. */
function modulo(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor
}
