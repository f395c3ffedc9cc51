/** Metrics of the router. */
import type { ExchangeNode, ServerPool } from '@wagtailway/core'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

/** Histogram buckets of request times, in seconds. */
const TIME_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/** Interval between samples of the event loop delay, in milliseconds. */
const EVENT_LOOP_SAMPLE_MS = 100

const MS_PER_SECOND = 1_000

/** Sets the gauges of membership and configuration. */
export function setMembershipMetrics(
  metrics: RouterMetrics,
  { members, config, isWatcher }: Pick<ExchangeNode<unknown>, MembershipParts>,
): void {
  const { ageMs } = config
  metrics.membersAlive.set(members.alive().length)
  metrics.membersKnown.set(members.known().length)
  metrics.membersRemoved.set(members.removals)
  metrics.cutOff.set(Number(members.health.isIsolated))
  metrics.configRevision.set(config.revision)
  metrics.configAge.set(Number.isFinite(ageMs) ? ageMs / MS_PER_SECOND : -1)
  metrics.configOutage.set(Number(config.isServingUnconfirmed))
  metrics.watcher.set(Number(isWatcher))
}

/** Sets the gauges of the pools of backend servers. */
export function setPoolMetrics(
  metrics: RouterMetrics,
  pools: readonly (readonly [string, ServerPool])[],
): void {
  for (const [pool, { waiting, inFlight, healthy }] of pools) {
    metrics.poolWaiting.set({ pool }, waiting)
    metrics.poolInFlight.set({ pool }, inFlight)
    metrics.poolHealthy.set({ pool }, healthy)
  }
}

type MembershipParts = 'members' | 'config' | 'isWatcher'

/**
 * All metrics of one router.
 *
 * @example
 * const metrics = RouterMetrics.create()
 * metrics.refusals.inc({ reason: 'overloaded' })
 */
export class RouterMetrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'wagtailway_requests_total',
    help: 'Requests answered, by class and version',
    labelNames: ['class', 'version'],
    registers: [this.registry],
  })
  readonly refusals = new Counter({
    name: 'wagtailway_refusals_total',
    help: 'Requests refused, by reason and whether they ran',
    labelNames: ['reason', 'ran'],
    registers: [this.registry],
  })
  readonly retries = new Counter({
    name: 'wagtailway_retries_total',
    help: 'Attempts repeated at another backend server, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  })
  readonly escalations = new Counter({
    name: 'wagtailway_escalations_total',
    help: 'Cascade steps taken because an answer was not good enough',
    labelNames: ['class'],
    registers: [this.registry],
  })
  readonly rolloutChanges = new Counter({
    name: 'wagtailway_rollout_changes_total',
    help: 'Changes of roll-outs seen by this instance, by the phase they led to',
    labelNames: ['phase'],
    registers: [this.registry],
  })
  readonly rolloutShare = new Gauge({
    name: 'wagtailway_rollout_share',
    help: 'Part of the new requests that a version under roll-out may get',
    labelNames: ['version'],
    registers: [this.registry],
  })
  readonly rolloutAnswers = new Counter({
    name: 'wagtailway_rollout_answers_total',
    help: 'Answers of versions under roll-out, by class and version',
    labelNames: ['class', 'version'],
    registers: [this.registry],
  })
  readonly ratings = new Counter({
    name: 'wagtailway_ratings_total',
    help: 'Ratings asked for and received, by event',
    labelNames: ['event'],
    registers: [this.registry],
  })
  readonly platformCalls = new Counter({
    name: 'wagtailway_platform_calls_total',
    help: "Calls of the platform's API, by operation",
    labelNames: ['operation'],
    registers: [this.registry],
  })
  readonly platformCallsHeldBack = new Counter({
    name: 'wagtailway_platform_calls_held_back_total',
    help: "Calls of the platform's API that were not sent, by operation and reason",
    labelNames: ['operation', 'reason'],
    registers: [this.registry],
  })
  readonly platformFailures = new Counter({
    name: 'wagtailway_platform_failures_total',
    help: "Calls of the platform's API that were not answered, by operation",
    labelNames: ['operation'],
    registers: [this.registry],
  })
  readonly membersAlive = new Gauge({
    name: 'wagtailway_members_alive',
    help: 'Other entry instances that are alive and not leaving',
    registers: [this.registry],
  })
  readonly membersKnown = new Gauge({
    name: 'wagtailway_members_known',
    help: 'Other entry instances that are not removed, alive or not',
    registers: [this.registry],
  })
  readonly membersRemoved = new Gauge({
    name: 'wagtailway_members_removed',
    help: 'Members that this instance has removed after an unrefuted suspicion',
    registers: [this.registry],
  })
  readonly cutOff = new Gauge({
    name: 'wagtailway_cut_off',
    help: '1 while most exchanges of this instance fail',
    registers: [this.registry],
  })
  readonly configAge = new Gauge({
    name: 'wagtailway_config_age_seconds',
    help: 'Age of the proof that the configuration is the newest; -1 without one',
    registers: [this.registry],
  })
  readonly configOutage = new Gauge({
    name: 'wagtailway_config_outage',
    help: '1 while this instance serves without a proof because of an outage',
    registers: [this.registry],
  })
  readonly watcher = new Gauge({
    name: 'wagtailway_watcher',
    help: '1 while this instance watches the platform for its zone',
    registers: [this.registry],
  })
  readonly controlBytes = new Counter({
    name: 'wagtailway_control_bytes_total',
    help: 'Bytes of exchanges sent to other entry instances, without HTTP headers',
    registers: [this.registry],
  })
  readonly costMicros = new Counter({
    name: 'wagtailway_cost_micros_total',
    help: 'Cost billed, in millionths of the currency unit',
    labelNames: ['class'],
    registers: [this.registry],
  })
  readonly copyFailures = new Counter({
    name: 'wagtailway_record_copy_failures_total',
    help: 'Billing records released without a copy at another instance',
    registers: [this.registry],
  })
  readonly recoveredRecords = new Counter({
    name: 'wagtailway_records_recovered_total',
    help: 'Billing records stored for instances that went silent',
    registers: [this.registry],
  })
  readonly copiesKept = new Gauge({
    name: 'wagtailway_record_copies_kept',
    help: 'Copies of billing records kept for other instances',
    registers: [this.registry],
  })
  readonly claimEvents = new Counter({
    name: 'wagtailway_claim_events_total',
    help: 'Events of claims on idempotency keys and sessions, by kind and event',
    labelNames: ['kind', 'event'],
    registers: [this.registry],
  })
  readonly sessionPins = new Counter({
    name: 'wagtailway_session_pins_total',
    help: 'First requests of sessions, by how their version was decided',
    labelNames: ['source'],
    registers: [this.registry],
  })
  readonly abandoned = new Counter({
    name: 'wagtailway_abandoned_total',
    help: 'Requests whose caller went away before the end of the answer',
    registers: [this.registry],
  })
  readonly droppedConnections = new Counter({
    name: 'wagtailway_connections_dropped_total',
    help: 'Connections closed at once because there were too many',
    registers: [this.registry],
  })
  readonly unforeseenErrors = new Counter({
    name: 'wagtailway_unforeseen_errors_total',
    help: 'Errors that no code handles, by how they came up; the process drains after one',
    labelNames: ['kind'],
    registers: [this.registry],
  })
  readonly socketErrors = new Counter({
    name: 'wagtailway_socket_errors_total',
    help: 'Errors of listening sockets, by socket and code of the system',
    labelNames: ['socket', 'code'],
    registers: [this.registry],
  })
  readonly firstToken = new Histogram({
    name: 'wagtailway_first_token_seconds',
    help: 'Time to the first token of streamed answers',
    labelNames: ['class'],
    buckets: TIME_BUCKETS,
    registers: [this.registry],
  })
  readonly duration = new Histogram({
    name: 'wagtailway_request_seconds',
    help: 'Time to the end of the answer',
    labelNames: ['class'],
    buckets: TIME_BUCKETS,
    registers: [this.registry],
  })
  readonly inProgress = new Gauge({
    name: 'wagtailway_requests_in_progress',
    help: 'Requests in progress',
    registers: [this.registry],
  })
  readonly poolWaiting = new Gauge({
    name: 'wagtailway_pool_waiting',
    help: 'Requests that wait for a place, by version or plain service',
    labelNames: ['pool'],
    registers: [this.registry],
  })
  readonly poolInFlight = new Gauge({
    name: 'wagtailway_pool_in_flight',
    help: 'Requests in progress at backend servers, by version or plain service',
    labelNames: ['pool'],
    registers: [this.registry],
  })
  readonly poolHealthy = new Gauge({
    name: 'wagtailway_pool_healthy',
    help: 'Backend servers that no breaker keeps out, by version or plain service',
    labelNames: ['pool'],
    registers: [this.registry],
  })
  readonly configRevision = new Gauge({
    name: 'wagtailway_config_revision',
    help: 'Revision of the configuration in force',
    registers: [this.registry],
  })
  readonly ledgerPending = new Gauge({
    name: 'wagtailway_ledger_pending',
    help: 'Billing records not yet stored',
    registers: [this.registry],
  })

  private constructor() {
    // Created through RouterMetrics.create, like every class here.
  }

  static create(): RouterMetrics {
    const metrics = new RouterMetrics()
    // Includes CPU time and memory, by which the cost of control traffic is checked.
    collectDefaultMetrics({
      register: metrics.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
    })
    return metrics
  }
}
