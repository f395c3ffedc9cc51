/** Records what one request's attempts tell about servers, versions and requests. */
import type { BackendServer } from '../model/backendServer.js'
import type { AttemptFailure } from './attempt.js'
import type { RequestContextOptions } from './requestOptions.js'
import type { TrackedAttempt } from './startAttempt.js'
import { startTimer } from './timer.js'

/**
 * Servers that may crash under one request before it gets no other one: the request may be
 * the cause, and each retry would cost another server.
 */
const MAX_SUSPECTED_CRASHES = 2

/**
 * Longest wait for the check whether a server has ended before a retry, in milliseconds. A
 * server that has ended refuses a connection at once.
 */
const MAX_END_CHECK_MS = 150

/**
 * Records results for the health of servers, the rollouts of versions and the quarantine.
 *
 * @example
 * ctx.recorder.recordResult(server, 'ok')
 * ctx.recorder.recordSpeed(server, 'lookup', 15)
 */
export class ResponseRecorder {
  /** Versions of which a response to this request was counted. */
  readonly #countedVersions = new Set<string>()
  #suspectedCrashes = 0

  private constructor(private readonly opts: RequestContextOptions) {}

  static create(opts: RequestContextOptions): ResponseRecorder {
    return new ResponseRecorder(opts)
  }

  /** Whether so many servers crashed under the request that it may be the cause. */
  get mayCrashServers(): boolean {
    return this.#suspectedCrashes >= MAX_SUSPECTED_CRASHES
  }

  /** Records how a response ended, for the server's health and its version's rollout. */
  recordResult(server: BackendServer, result: 'ok' | 'failed'): void {
    this.opts.node.opts.health.recordResult(server.id, result === 'ok')
    this.#countResult(server, result)
  }

  /**
   * Records how long something took that is compared during a rollout.
   *
   * @param group What may be compared, such as the pauses of one model's streams.
   * @param ms Duration in milliseconds.
   */
  recordSpeed(server: BackendServer, group: string, ms: number): void {
    this.opts.node.opts.evidence.recordSpeed(server, group, ms)
  }

  /** Records that an attempt could not be sent. */
  recordNotSent({ placement, inFlight }: TrackedAttempt, failure: AttemptFailure): void {
    const { quarantine, health } = this.opts.node.opts
    inFlight.discard()
    // The cause is the request, or the process itself.
    if (failure.reason === 'unsendable') return
    if (failure.isRefused) quarantine.recordRefusedConnection(placement.server)
    health.recordUnreachable(placement.server.id)
    if (failure.isServerFailure) this.#countResult(placement.server, 'failed')
  }

  /**
   * Records that the connection of an attempt broke, which counts against the server only if
   * a new connection to it shows that the path is not the cause.
   */
  async recordLostConnection(tracked: TrackedAttempt): Promise<void> {
    const { server } = tracked.placement
    const release = this.#reserveCount(server)
    void this.opts.node.opts.dialer.check(server).then((check) => {
      const isOtherPath = tracked.attempt.relay !== undefined && check === 'direct'
      release()
      const isServerFailure = check !== 'relayed' && check !== 'unchecked'
      if (isServerFailure && !isOtherPath) this.recordResult(server, 'failed')
    })
    await this.recordBroken(tracked)
  }

  /**
   * Records that a server answered with bytes that are no response to the request: a fact
   * about the server, not about its version or the request.
   */
  recordWrongAnswer({ placement, inFlight }: TrackedAttempt): void {
    inFlight.discard()
    this.opts.node.opts.health.recordResult(placement.server.id, false)
  }

  /**
   * Records that a server stopped responding. The other instances are told if it accepts
   * direct connections, so that the path to it is not the cause.
   */
  recordSilent({ placement, attempt }: TrackedAttempt): void {
    const { health, dialer } = this.opts.node.opts
    const { server } = placement
    health.recordUnreachable(server.id)
    const release = this.#reserveCount(server)
    void dialer.checkSilence(server, attempt.relay).then((check) => {
      release()
      const isOtherPath = attempt.relay !== undefined && check === 'direct'
      if (check === 'relayed' || check === 'unchecked' || isOtherPath)
        health.recordReachable(server.id)
      else {
        if (check === 'direct') health.confirmUnreachable(server.id)
        this.#countResult(server, 'failed')
      }
    })
  }

  /**
   * Records that the connection of an attempt broke. If the request may be the cause, waits
   * for a moment until it is known whether the server has ended.
   */
  async recordBroken({ placement, inFlight }: TrackedAttempt): Promise<void> {
    const check = this.opts.node.opts.quarantine.hasEnded(placement.server)
    if (!inFlight.isSuspect) return
    const hasEnded = await new Promise<boolean>((resolve) => {
      const timer = startTimer(MAX_END_CHECK_MS, () => {
        resolve(false)
      })
      void check.then((ended) => {
        timer.cancel()
        resolve(ended)
      })
    })
    if (hasEnded) this.#suspectedCrashes += 1
  }

  /** Records that a server sends what is no response, without an end. */
  recordUnreachable(server: BackendServer): void {
    const { health } = this.opts.node.opts
    health.recordUnreachable(server.id)
    health.confirmUnreachable(server.id)
    this.#countResult(server, 'failed')
  }

  /**
   * Reserves the count of a response while its cause is looked for; returns a function that
   * releases it.
   */
  #reserveCount({ version }: BackendServer): () => void {
    if (this.#countedVersions.has(version)) return () => undefined
    this.#countedVersions.add(version)
    return () => this.#countedVersions.delete(version)
  }

  /**
   * Counts a response for the rollout of its version, the first one only: where the cause is
   * the request, all its attempts fail.
   */
  #countResult(server: BackendServer, result: 'ok' | 'failed'): void {
    if (this.#countedVersions.has(server.version)) return
    this.#countedVersions.add(server.version)
    this.opts.node.opts.evidence.recordResult(server, this.opts.route.name, result)
  }
}
