/**
 * Opens one connection to a backend server, on the direct path or through a relay.
 *
 * A connection that fails or is not there within some tens of milliseconds is tried through
 * another instance as well; the first one that is established is used. Nothing is sent on
 * any of them before that.
 */
import type { BackendServer } from '../model/backendServer.js'
import type { PathFailure, PathFinding, PathPlan } from './pathTable.js'
import type { RelayCandidate, RelayHistory } from './selectRelay.js'

/** Time after which a direct connection counts as slow, in milliseconds; usual are 5. */
const SLOW_CONNECT_MS = 60

/** Time after which a further relay is tried, in milliseconds. */
const SLOW_RELAY_MS = 90

/** Time after which all tries have failed, in milliseconds. */
const DIAL_TIMEOUT_MS = 450

/** Relays that are asked for one connection. */
const MAX_RELAYS = 4

/**
 * Relays of different zones that must have failed to reach a server before it counts as the
 * server's failure, if there are other zones.
 */
const MAX_RELAY_FAILURES = 2

/** Result of one direct connection. */
export type DirectResult<C> =
  | { readonly type: 'connected'; readonly connection: C }
  | { readonly type: 'failed'; readonly failure: PathFailure }

/**
 * Why a relay provided no connection. With `refused` and `no_response` it tried to reach the
 * server itself, which tells something about the server; the others tell nothing.
 */
export type RelayFailure = 'refused' | 'no_response' | 'unavailable'

export type RelayResult<C> =
  | { readonly type: 'connected'; readonly connection: C }
  | { readonly type: 'failed'; readonly failure: RelayFailure }

/** A connection that is being established. */
export interface PendingConnection<R> {
  readonly result: Promise<R>
  cancel(): void
}

/** Result of a dial. `relay` is the name of the instance that relays the connection. */
export type DialResult<C> =
  | { readonly type: 'connected'; readonly connection: C; readonly relay?: string }
  | {
      readonly type: 'failed'
      /** Whether the server itself refuses connections, not only the path to it. */
      readonly isRefused: boolean
      /** Whether the server has failed as far as anyone can tell, not only the path. */
      readonly isConfirmed: boolean
      readonly detail: string
    }

/** Cancels a timer. */
export type CancelTimer = () => void

export interface DialOptions<C> {
  readonly server: BackendServer
  readonly plan: PathPlan
  /** How a direct connection has just failed, if only relays are to be tried. */
  readonly directFailure?: PathFailure | undefined
  readonly ownZone: string
  /** Whether no other instance is known. */
  readonly isAlone: boolean
  readonly connect: () => PendingConnection<DirectResult<C>>
  readonly connectThrough: (relay: RelayCandidate) => PendingConnection<RelayResult<C>>
  readonly nextRelay: (history: RelayHistory) => RelayCandidate | undefined
  readonly discard: (connection: C) => void
  /** Calls the action after a time in milliseconds, but after I/O that is due by then. */
  readonly after: (ms: number, action: () => void) => CancelTimer
  readonly onSlow: () => void
  readonly onDirect: () => void
  readonly onLost: (finding: PathFinding) => void
}

/**
 * Dials a server. A connection that throws or rejects counts as failed; rejects if one of the
 * other functions throws.
 *
 * @example
 * const result = await dial(options)
 * if (result.type === 'connected') use(result.connection, result.relay)
 */
export function dial<C>(opts: DialOptions<C>): Promise<DialResult<C>> {
  return new Promise((resolve, reject) => {
    new Dial(opts, resolve, reject).start()
  })
}

class Dial<C> {
  readonly #timers: CancelTimer[] = []
  readonly #tried = new Set<string>()
  readonly #failedZones = new Set<string>()
  readonly #relayFailures: RelayFailure[] = []
  readonly #pendingRelays = new Set<PendingConnection<RelayResult<C>>>()
  #direct: 'unused' | 'pending' | 'connected' | PathFailure
  #pendingDirect: PendingConnection<DirectResult<C>> | undefined
  #lastRelay: string | undefined
  /** Relay that reached the server. */
  #usedRelay: string | undefined
  #isDone = false
  /** Whether the caller has a result or an error. */
  #isSettled = false

  constructor(
    private readonly opts: DialOptions<C>,
    private readonly resolve: (result: DialResult<C>) => void,
    private readonly reject: (err: unknown) => void,
  ) {
    this.#direct = opts.directFailure ?? 'unused'
  }

  start(): void {
    this.#guard(() => {
      this.#start()
    })
  }

  #start(): void {
    const { plan } = this.opts
    if (plan === 'none') {
      this.#finish('no instance reached it a moment ago')
      return
    }
    this.#startTimer(DIAL_TIMEOUT_MS, () => {
      this.#timeOut()
    })
    if (plan === 'relay') {
      this.#startRelay()
      return
    }
    this.#startDirect()
    if (plan === 'both') this.#startRelay()
    else
      this.#startTimer(SLOW_CONNECT_MS, () => {
        if (this.#direct !== 'pending') return
        this.opts.onSlow()
        this.#startRelay()
      })
  }

  #startDirect(): void {
    this.#direct = 'pending'
    this.#pendingDirect = startConnection(this.opts.connect, {
      type: 'failed',
      failure: 'no_response',
    })
    void this.#pendingDirect.result.then((result) => {
      this.#guard(() => {
        this.#handleDirect(result)
      }, result)
    })
  }

  #handleDirect(result: DirectResult<C>): void {
    if (result.type === 'connected') {
      this.#direct = 'connected'
      this.opts.onDirect()
      if (this.#isDone) this.opts.discard(result.connection)
      else this.#succeed({ type: 'connected', connection: result.connection })
      return
    }
    if (this.#direct !== 'pending') return
    this.#direct = result.failure
    if (this.#usedRelay !== undefined) this.#recordRelayed()
    else if (this.#tried.size === 0) this.#startRelay()
    else this.#failIfNothingLeft()
  }

  #startRelay(): void {
    if (this.#isDone) return
    const isEnough = this.#failedZones.size >= MAX_RELAY_FAILURES
    const relay =
      isEnough || this.#tried.size >= MAX_RELAYS
        ? undefined
        : this.opts.nextRelay({ tried: this.#tried, failedZones: this.#failedZones })
    if (!relay) {
      this.#failIfNothingLeft()
      return
    }
    const { name } = relay.address
    this.#tried.add(name)
    this.#lastRelay = name
    const pending = startConnection<RelayResult<C>>(
      () => this.opts.connectThrough(relay),
      { type: 'failed', failure: 'unavailable' },
    )
    this.#pendingRelays.add(pending)
    void pending.result.then((result) => {
      this.#pendingRelays.delete(pending)
      this.#guard(() => {
        this.#handleRelay(relay, result)
      }, result)
    })
    this.#startTimer(SLOW_RELAY_MS, () => {
      if (this.#pendingRelays.has(pending)) this.#startRelay()
    })
  }

  #handleRelay({ address, zone }: RelayCandidate, result: RelayResult<C>): void {
    if (result.type === 'connected') {
      if (this.#isDone) {
        this.opts.discard(result.connection)
        return
      }
      this.#usedRelay = address.name
      // A direct connection in progress goes on, to tell a slow path from a lost one.
      this.#recordRelayed()
      const { connection } = result
      this.#succeed({ type: 'connected', connection, relay: address.name })
      return
    }
    if (this.#isDone) return
    if (result.failure !== 'unavailable') {
      this.#relayFailures.push(result.failure)
      this.#failedZones.add(zone)
    }
    this.#startRelay()
  }

  /** Records that only a relay reaches the server, if the direct path has failed by now. */
  #recordRelayed(): void {
    if (!isFailure(this.#direct)) return
    this.opts.onLost({
      state: 'relayed',
      failure: this.#direct,
      relay: this.#usedRelay,
    })
  }

  #failIfNothingLeft(): void {
    if (this.#isDone || this.#pendingRelays.size > 0 || this.#direct === 'pending') return
    this.#finish('no path to the server')
  }

  #timeOut(): void {
    if (this.#direct === 'pending') {
      this.#direct = 'no_response'
      this.#pendingDirect?.cancel()
      if (this.#usedRelay !== undefined) this.#recordRelayed()
    }
    if (!this.#isDone) this.#finish(`no connection within ${DIAL_TIMEOUT_MS} ms`)
  }

  #succeed(result: DialResult<C>): void {
    this.#isDone = true
    if (this.#direct !== 'pending') this.#cancelTimers()
    this.#cancelRelays()
    this.#settle(result)
  }

  #finish(detail: string): void {
    this.#isDone = true
    this.#cancelTimers()
    this.#cancelRelays()
    if (this.#direct === 'pending') this.#pendingDirect?.cancel()
    const isConfirmed = this.#isConfirmed
    if (this.opts.plan !== 'none') {
      // Relays that are busy tell nothing about the server and may have room in a moment.
      const hasOnlyBusyRelays = this.#tried.size > 0 && this.#relayFailures.length === 0
      this.opts.onLost({
        state: hasOnlyBusyRelays ? 'relayed' : 'unreachable',
        failure: isFailure(this.#direct) ? this.#direct : undefined,
        relay: this.#lastRelay,
      })
    }
    const relaysRefused = this.#relayFailures.every((failure) => failure === 'refused')
    const hasWitness = this.opts.isAlone || this.#relayFailures.length > 0
    const isRefused = this.#direct === 'refused' && relaysRefused && hasWitness
    this.#settle({ type: 'failed', isRefused, isConfirmed, detail })
  }

  /**
   * Whether an instance of another zone failed as well; in a deployment of one zone, whether
   * any other one did. An instance that is alone has only its own view.
   */
  get #isConfirmed(): boolean {
    const { ownZone, nextRelay, isAlone } = this.opts
    if (isAlone || [...this.#failedZones].some((zone) => zone !== ownZone)) return true
    const other = nextRelay({ tried: this.#tried, failedZones: new Set([ownZone]) })
    return this.#relayFailures.length > 0 && (!other || other.zone === ownZone)
  }

  #startTimer(ms: number, action: () => void): void {
    const guarded = (): void => {
      this.#guard(action)
    }
    this.#timers.push(this.opts.after(ms, guarded))
  }

  #settle(result: DialResult<C>): void {
    this.#isSettled = true
    this.resolve(result)
  }

  /**
   * Makes an error that `action` throws one of the dial, unless that has its result.
   *
   * @param result What `action` handles; its connection is discarded.
   */
  #guard(action: () => void, result?: DirectResult<C> | RelayResult<C>): void {
    try {
      action()
    } catch (err) {
      if (this.#isSettled) throw err
      this.#isSettled = true
      this.#isDone = true
      this.#cancelTimers()
      this.#cancelRelays()
      this.#pendingDirect?.cancel()
      if (result?.type === 'connected') this.opts.discard(result.connection)
      this.reject(err)
    }
  }

  #cancelTimers(): void {
    for (const cancel of this.#timers.splice(0)) cancel()
  }

  #cancelRelays(): void {
    for (const pending of this.#pendingRelays) pending.cancel()
    this.#pendingRelays.clear()
  }
}

/** Starts a connection; one that throws or rejects has failed. */
function startConnection<R>(
  start: () => PendingConnection<R>,
  failed: R,
): PendingConnection<R> {
  try {
    const pending = start()
    return {
      result: pending.result.catch(() => failed),
      cancel: () => {
        pending.cancel()
      },
    }
  } catch {
    return { result: Promise.resolve(failed), cancel: () => undefined }
  }
}

function isFailure(state: string): state is PathFailure {
  return state !== 'unused' && state !== 'pending' && state !== 'connected'
}
