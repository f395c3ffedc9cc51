/** Decides whether one request may be sent to a further server. */
import type { BackendServer } from '../model/backendServer.js'
import { mayRunAgain, type FurtherRunReason } from '../retry/mayRunAgain.js'
import type { RequestContextOptions } from './requestOptions.js'

/**
 * Failed connections after which a request gives up: most servers are then unreachable.
 */
const MAX_FAILED_CONNECTS = 4

/**
 * Counts the servers that may have run a request, and takes its retries from the budget of
 * its service.
 *
 * @example
 * ctx.retries.recordMayHaveRun(server)
 * if (ctx.retries.mayRunAgain('silent') && ctx.retries.mayRetryAfter('silent')) { }
 */
export class RequestRetries {
  readonly #mayHaveRunOn = new Set<string>()
  #failedConnects = 0
  #needsNewConnection = false

  private constructor(
    private readonly opts: RequestContextOptions,
    private readonly deadlineMs: number,
  ) {}

  /** @param deadlineMs When the response must be complete, on the monotonic clock. */
  static create(opts: RequestContextOptions, deadlineMs: number): RequestRetries {
    return new RequestRetries(opts, deadlineMs)
  }

  /** Records that a server may have run the request. */
  recordMayHaveRun(server: BackendServer): void {
    this.#mayHaveRunOn.add(server.id)
  }

  /** Records that a connection was silent or lost: others that are open may be as well. */
  recordBadConnection(): void {
    this.#needsNewConnection = true
  }

  /** Whether further attempts need a connection that was not used before. */
  get needsNewConnection(): boolean {
    return this.#needsNewConnection
  }

  mayHaveRunOn(server: BackendServer): boolean {
    return this.#mayHaveRunOn.has(server.id)
  }

  /** Whether a server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRunOn.size > 0
  }

  /**
   * Whether one more server may run the request, as far as its route and its deadline tell.
   *
   * @param runningOn Server that is running the request now.
   */
  mayRunAgain(reason: FurtherRunReason, runningOn?: BackendServer): boolean {
    const { node, route, caller } = this.opts
    const isCounted = runningOn === undefined || this.mayHaveRunOn(runningOn)
    return mayRunAgain(reason, {
      route,
      runCount: this.#mayHaveRunOn.size + (isCounted ? 0 : 1),
      hasBegun: caller.res.headersSent,
      timeToDeadlineMs: this.deadlineMs - node.opts.clock(),
    })
  }

  /** Takes one retry from the service's retry budget; false if the budget is exhausted. */
  tryAcquire(reason: FurtherRunReason): boolean {
    const { node, service } = this.opts
    if (!node.retryBudget(service.name).tryAcquire()) return false
    node.opts.metrics.retries.inc({ reason })
    return true
  }

  /**
   * Whether the retry budget allows a retry after an attempt that failed for this reason. A
   * retry after a failed connection is recorded in the retry budget but not limited by
   * it, because the request was never sent; it is allowed until `MAX_FAILED_CONNECTS`
   * connections have failed.
   */
  mayRetryAfter(reason: FurtherRunReason): boolean {
    const wasNeverSent = reason === 'connect_failed' || reason === 'connect_timeout'
    if (!wasNeverSent) return this.tryAcquire(reason)
    const { node, service } = this.opts
    this.#failedConnects += 1
    node.opts.metrics.retries.inc({ reason })
    node.retryBudget(service.name).recordRetry()
    return this.#failedConnects < MAX_FAILED_CONNECTS
  }
}
