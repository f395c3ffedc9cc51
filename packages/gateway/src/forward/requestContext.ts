/** State of one admitted request across its attempts at backend servers. */
import { cascadeModels, selectSingleRunModel } from '../cascade/cascade.js'
import { identifyContent } from '../quarantine/requestContent.js'
import { requestTraits, type RequestTrait } from '../quarantine/requestTrait.js'
import type { MemoryHolder } from '../memory/memoryShare.js'
import type { BackendServer } from '../model/backendServer.js'
import type { AttemptLogEntry, RequestOutcome } from './requestLog.js'
import { memoryHolderOf, type RequestContextOptions } from './requestOptions.js'
import { RequestPlacement, sharedParts } from './requestPlacement.js'
import { RequestRetries } from './requestRetries.js'
import { ResponseRecorder } from './responseRecorder.js'

/**
 * What the attempts of one request share.
 *
 * @example
 * const ctx = RequestContext.create({ node, caller, cfg, route, service, workspace, body })
 * ctx.finish(await forwardBuffered(ctx))
 */
export class RequestContext {
  readonly attemptLog: AttemptLogEntry[] = []
  /** When the response must be complete, on the monotonic clock. */
  readonly deadlineMs: number
  readonly retries: RequestRetries
  readonly placement: RequestPlacement
  readonly recorder: ResponseRecorder
  /** Same for requests with the same content under other ids. */
  readonly contentId: string
  /** By what the request is related to others under which servers crash. */
  readonly traits: readonly RequestTrait[]

  private constructor(readonly opts: RequestContextOptions) {
    const { caller, route } = opts
    const waitMs = Math.min(
      route.timeoutMs,
      caller.metadata.remainingMs ?? route.timeoutMs,
    )
    this.deadlineMs = caller.arrivedAtMs + waitMs
    this.retries = RequestRetries.create(opts, this.deadlineMs)
    this.placement = RequestPlacement.create(opts, (server) =>
      this.retries.mayHaveRunOn(server),
    )
    this.recorder = ResponseRecorder.create(opts)
    this.contentId = identifyContent({
      method: caller.req.method ?? '',
      host: caller.req.headers.host ?? '',
      path: caller.req.url ?? '',
      caller: opts.workspace?.name ?? '',
      body: opts.body,
    })
    this.traits = requestTraits(sharedParts(opts), this.contentId)
  }

  static create(opts: RequestContextOptions): RequestContext {
    return new RequestContext(opts)
  }

  /** For whom memory is held. */
  get memoryHolder(): MemoryHolder {
    return memoryHolderOf(this.opts.workspace, this.opts.route)
  }

  /** Models to try, smallest first; empty if the route has none. */
  get models(): readonly string[] {
    const { route, caller, node } = this.opts
    const { model } = caller.metadata
    if (route.models.length > 0 && model !== undefined) return [model]
    return cascadeModels(route.models, node.opts.cascade)
  }

  /**
   * Index of the model for a request whose answer is not replaced by that of a larger model.
   */
  get singleRunModelIndex(): number {
    return selectSingleRunModel({
      priority: this.opts.route.priority,
      models: this.models.map((model) => {
        const placement = this.placement.preview(model)
        if (!placement) return undefined
        const { expectedFirstByteMs: firstByteMs, prefillMs } = placement
        return { firstByteMs, waitMs: firstByteMs - prefillMs }
      }),
      timeToTargetMs: this.timeToTargetMs,
    })
  }

  /**
   * Whether another server than the one that runs the request is expected to send its first
   * byte before the deadline.
   */
  canBeginElsewhere(model: string | undefined, runningOn: BackendServer): boolean {
    const placement = this.placement.preview(model, runningOn)
    return (
      placement !== undefined && placement.expectedFirstByteMs < this.timeToDeadlineMs
    )
  }

  /** Time until the deadline, in milliseconds. */
  get timeToDeadlineMs(): number {
    return this.deadlineMs - this.opts.node.opts.clock()
  }

  /** Time until the route's target, in milliseconds; negative once it is missed. */
  get timeToTargetMs(): number {
    const { caller, route, node } = this.opts
    return caller.arrivedAtMs + route.targetMs - node.opts.clock()
  }

  /** Id of the quarantined trait that keeps the request from being sent. */
  findQuarantinedTrait(): string | undefined {
    return this.opts.node.opts.quarantine.admit(this.traits)
  }

  /** Records the request's outcome in the metrics and the log. */
  finish(outcome: RequestOutcome): void {
    const { node, caller, route, workspace, cfg } = this.opts
    const { log, metrics, clock } = node.opts
    const tookMs = Math.round(clock() - caller.arrivedAtMs)
    if (caller.hasFailed)
      outcome = {
        outcome: 'failed',
        status: caller.res.statusCode,
        reason: 'failed_inside',
      }
    metrics.requests.inc({ outcome: outcome.outcome })
    if (outcome.reason) metrics.refusals.inc({ reason: outcome.reason })
    if (outcome.outcome === 'answered') metrics.responseSeconds.observe(tookMs / 1_000)
    log('request', {
      id: caller.metadata.requestId,
      route: route.name,
      workspace: workspace?.name,
      config: cfg.version,
      ...outcome,
      tookMs,
      leftMs: Math.round(this.timeToDeadlineMs),
      content: this.contentId,
      promptParts: sharedParts(this.opts).map(({ id }) => id),
      attempts: this.attemptLog,
    })
  }
}
