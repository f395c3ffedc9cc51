/**
 * Emulator of a fleet of entry instances in virtual time: errors that no code handles, drains,
 * restarts, planned stops, and reports that are lost or cut off.
 */
import { seededRandom, type Random } from '@wagtailway/core'
import {
  longestReportIntervalMs,
  reportIntervalMs,
  reportScope,
  type LeaveReport,
} from '@wagtailway/gateway'
import type { LeaveGuard, LeavePolicy } from './leavePolicies.js'

/** Resolution of the virtual time, in milliseconds. */
const TICK_MS = 100

/** Interval between two asks whether an instance may leave, in milliseconds. */
const ASK_MS = 1_000

/** Time for which processes have lived before the begin, and have reported, in ms. */
const LIVED_MS = 1_000_000
const REPORTED_MS = 45_000

const ZONE_COUNT = 3

/** Bounds of drains and of restarts, in milliseconds. */
const MIN_DRAIN_MS = 1_000
const MAX_DRAIN_MS = 20_000
const MIN_RESTART_MS = 500
const MAX_RESTART_MS = 3_000

export interface LeaveFleetOptions {
  readonly seed: number
  readonly instances: number
  readonly policy: LeavePolicy
  /** Largest deviation of an instance's wall clock, in milliseconds. */
  readonly clockErrorMs: number
  /** Share of the reports that are lost, from the begin on. */
  readonly loss: number
  /** Whether an error comes within 5 s after each start, from the first error on. */
  readonly errorAtEachStart: boolean
  /**
   * Age from which a planned stop that was told counts in `maxOutAtLeave`, in milliseconds.
   *
   * @default 0
   */
  readonly minPlannedAgeMs?: number
}

type State = 'ready' | 'draining' | 'down'

interface Instance {
  readonly index: number
  readonly name: string
  readonly zone: number
  readonly clockErrorMs: number
  guard: LeaveGuard
  state: State
  /** Why it is out; meaningless while it is ready. */
  cause: 'error' | 'planned'
  outSinceMs: number
  /** End of the drain or of the restart. */
  untilMs: number
  wishedAtMs: number | undefined
  errorAtMs: number
  reportAtMs: number
  reportCount: number
  askAtMs: number
  /** Group that hears only itself; zero if not cut off. */
  group: number
  /** Begins of the drains that reports have told this instance of, by index. */
  readonly toldOf: Map<number, number>
}

/** What a run has shown. */
export interface LeaveFleetResult {
  /** Least number of ready instances. */
  readonly minReady: number
  /** Most instances that were out after an error at the same time. */
  readonly maxOutAfterError: number
  /**
   * Most instances that were out when one left after an error, with that one, and with those
   * of whose planned stop a report had told it.
   */
  readonly maxOutAtLeave: number
  /** Drains after an error and planned stops. */
  readonly leaveCount: number
  readonly plannedCount: number
  /** Longest time from a wish to the drain, also of those that still wait, in milliseconds. */
  readonly longestWaitMs: number
  /** Number of instances that still wait to leave. */
  readonly waitingCount: number
}

/**
 * One run of the fleet.
 *
 * @example
 * const fleet = LeaveFleet.create({ seed: 1, instances: 8, policy: permission, ...rest })
 * fleet.at(5_000, () => fleet.fail(3))
 * const { minReady } = fleet.run(200_000)
 */
export class LeaveFleet {
  readonly random: Random
  readonly #instances: Instance[]
  readonly #steps: { readonly atMs: number; readonly run: () => void }[] = []
  #nowMs = -LIVED_MS
  #loss = 0
  #minReady: number
  #maxOutAfterError = 0
  #maxOutAtLeave = 0
  #leaveCount = 0
  #plannedCount = 0
  #longestWaitMs = 0

  private constructor(private readonly opts: LeaveFleetOptions) {
    this.random = seededRandom(opts.seed)
    this.#minReady = opts.instances
    this.#instances = Array.from({ length: opts.instances }, (_, index) =>
      this.#createInstance(index),
    )
    this.#nowMs = -REPORTED_MS
  }

  static create(opts: LeaveFleetOptions): LeaveFleet {
    return new LeaveFleet(opts)
  }

  /** Runs a step at a time, also one that a step asks for. */
  at(atMs: number, run: () => void): void {
    const index = this.#steps.findLastIndex((step) => step.atMs <= atMs) + 1
    this.#steps.splice(index, 0, { atMs, run })
  }

  /** Lets an error come up at an instance; one that is out has none. */
  fail(index: number): void {
    const instance = this.#instances[index]
    if (instance?.state !== 'ready') return
    instance.wishedAtMs ??= this.#nowMs
    instance.guard.requestLeave()
  }

  /** Stops an instance as planned, whatever it waits for; it starts again after a while. */
  stop(index: number): void {
    const instance = this.#instances[index]
    if (instance?.state !== 'ready') return
    this.#plannedCount += 1
    instance.wishedAtMs = undefined
    this.#drain(instance, 'planned')
  }

  /** Lets an instance hear only those of the same group; zero for the main one. */
  setGroup(index: number, group: number): void {
    const instance = this.#instances[index]
    if (instance) instance.group = group
  }

  /** Runs until a time, or until `isOver` if that is earlier. */
  run(untilMs: number, isOver: () => boolean = () => false): LeaveFleetResult {
    while (this.#nowMs < untilMs) {
      this.#nowMs += TICK_MS
      if (this.#nowMs >= 0) this.#loss = this.opts.loss
      while ((this.#steps[0]?.atMs ?? Number.POSITIVE_INFINITY) <= this.#nowMs)
        this.#steps.shift()?.run()
      for (const instance of this.#instances) this.#advance(instance)
      this.#measure()
      if (this.#nowMs % ASK_MS === 0 && isOver()) break
    }
    const waiting = this.#waiting()
    const waitsMs = waiting.map(({ wishedAtMs = 0 }) => this.#nowMs - wishedAtMs)
    return {
      minReady: this.#minReady,
      maxOutAfterError: this.#maxOutAfterError,
      maxOutAtLeave: this.#maxOutAtLeave,
      leaveCount: this.#leaveCount,
      plannedCount: this.#plannedCount,
      longestWaitMs: Math.max(this.#longestWaitMs, ...waitsMs),
      waitingCount: waiting.length,
    }
  }

  get nowMs(): number {
    return this.#nowMs
  }

  /** Whether nobody waits to leave and all are ready. */
  get isCalm(): boolean {
    return (
      this.#steps.length === 0 &&
      this.#waiting().length === 0 &&
      this.#instances.every(({ state }) => state === 'ready')
    )
  }

  #waiting(): Instance[] {
    return this.#instances.filter(
      ({ state, wishedAtMs }) => state === 'ready' && wishedAtMs !== undefined,
    )
  }

  #createInstance(index: number): Instance {
    const { clockErrorMs, instances } = this.opts
    const name = `gateway-${index}`
    const errorMs = clockErrorMs * (2 * this.random() - 1)
    return {
      index,
      name,
      zone: index % ZONE_COUNT,
      clockErrorMs: errorMs,
      guard: this.#createGuard(name, errorMs),
      state: 'ready',
      cause: 'error',
      outSinceMs: 0,
      untilMs: 0,
      wishedAtMs: undefined,
      errorAtMs: Number.POSITIVE_INFINITY,
      reportAtMs: -REPORTED_MS + this.random() * reportIntervalMs(instances - 1),
      reportCount: index % ZONE_COUNT,
      askAtMs: Math.ceil((this.random() * ASK_MS) / TICK_MS) * TICK_MS,
      group: 0,
      toldOf: new Map(),
    }
  }

  #createGuard(name: string, clockErrorMs: number): LeaveGuard {
    const intervalMs = longestReportIntervalMs(this.opts.instances - 1)
    return this.opts.policy({
      name,
      clock: () => this.#nowMs,
      wallClock: () => this.#nowMs + clockErrorMs,
      reportIntervalMs: () => intervalMs,
    })
  }

  #advance(instance: Instance): void {
    const nowMs = this.#nowMs
    if (instance.state === 'draining' && nowMs >= instance.untilMs) {
      instance.state = 'down'
      const restartMs = MAX_RESTART_MS - MIN_RESTART_MS
      instance.untilMs = nowMs + MIN_RESTART_MS + restartMs * this.random()
    }
    if (instance.state === 'down' && nowMs >= instance.untilMs) this.#start(instance)
    if (nowMs >= instance.errorAtMs) {
      instance.errorAtMs = Number.POSITIVE_INFINITY
      this.fail(instance.index)
    }
    if (instance.state !== 'down' && nowMs >= instance.reportAtMs) {
      const receiverCount = this.opts.instances - 1
      const spread = 0.9 + 0.2 * this.random()
      instance.reportAtMs = nowMs + reportIntervalMs(receiverCount) * spread
      instance.reportCount += 1
      const scope = reportScope(receiverCount, instance.reportCount)
      this.#sendReport(instance, scope === 'zone')
    }
    if (instance.state !== 'ready' || instance.wishedAtMs === undefined) return
    if (nowMs < instance.askAtMs) return
    instance.askAtMs = nowMs + ASK_MS
    if (!instance.guard.mayLeave()) return
    this.#longestWaitMs = Math.max(this.#longestWaitMs, nowMs - instance.wishedAtMs)
    this.#leaveCount += 1
    instance.wishedAtMs = undefined
    this.#drain(instance, 'error')
    this.#maxOutAtLeave = Math.max(this.#maxOutAtLeave, this.#countOut(instance))
  }

  #start(instance: Instance): void {
    instance.state = 'ready'
    instance.guard = this.#createGuard(instance.name, instance.clockErrorMs)
    instance.toldOf.clear()
    instance.reportAtMs = this.#nowMs
    instance.reportCount = -1
    if (this.opts.errorAtEachStart)
      instance.errorAtMs = this.#nowMs + 5_000 * this.random()
  }

  #drain(instance: Instance, cause: Instance['cause']): void {
    instance.state = 'draining'
    instance.cause = cause
    instance.outSinceMs = this.#nowMs
    const drainMs = MAX_DRAIN_MS - MIN_DRAIN_MS
    instance.untilMs = this.#nowMs + MIN_DRAIN_MS + drainMs * this.random()
    this.#sendReport(instance, false)
  }

  /** Number of those that are out, with planned stops only as far as one was told of them. */
  #countOut({ toldOf }: Instance): number {
    const plannedUntilMs = this.#nowMs - (this.opts.minPlannedAgeMs ?? 0)
    return this.#instances.filter(
      ({ index, state, cause, outSinceMs }) =>
        state !== 'ready' &&
        (cause === 'error' ||
          (toldOf.get(index) === outSinceMs && outSinceMs <= plannedUntilMs)),
    ).length
  }

  #sendReport(sender: Instance, isForZone: boolean): void {
    const report: LeaveReport = {
      name: sender.name,
      isDraining: sender.state === 'draining',
      wishAgeMs: sender.guard.wishAgeMs,
    }
    for (const receiver of this.#instances) {
      if (receiver === sender || receiver.state === 'down') continue
      if (isForZone && receiver.zone !== sender.zone) continue
      if (receiver.group !== sender.group) continue
      if (this.#loss > 0 && this.random() < this.#loss) continue
      receiver.guard.applyReport(report)
      if (report.isDraining) receiver.toldOf.set(sender.index, sender.outSinceMs)
    }
  }

  #measure(): void {
    let readyCount = 0
    let errorCount = 0
    for (const { state, cause } of this.#instances) {
      if (state === 'ready') readyCount += 1
      else if (cause === 'error') errorCount += 1
    }
    this.#minReady = Math.min(this.#minReady, readyCount)
    this.#maxOutAfterError = Math.max(this.#maxOutAfterError, errorCount)
  }
}
