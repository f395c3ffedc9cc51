/** Counters and gauges of the router. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Buckets of request times, in seconds. */
const SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

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
  readonly platformCalls = new Counter({
    name: 'wagtailway_platform_calls_total',
    help: "Calls of the platform's API, by operation",
    labelNames: ['operation'],
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
  readonly firstToken = new Histogram({
    name: 'wagtailway_first_token_seconds',
    help: 'Time to the first token of streamed answers',
    labelNames: ['class'],
    buckets: SECONDS,
    registers: [this.registry],
  })
  readonly duration = new Histogram({
    name: 'wagtailway_request_seconds',
    help: 'Time to the end of the answer',
    labelNames: ['class'],
    buckets: SECONDS,
    registers: [this.registry],
  })
  readonly inProgress = new Gauge({
    name: 'wagtailway_requests_in_progress',
    help: 'Requests in progress',
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
    return new RouterMetrics()
  }
}
