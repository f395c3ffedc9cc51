/** Counters and latency histograms of the gateway. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of latency buckets, in seconds: from a local lookup to a long stream. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 10, 15, 20]

export type GatewayMetrics = ReturnType<typeof createMetrics>

/**
 * Creates all metrics in a registry separate from the global one.
 *
 * @example
 * const metrics = createMetrics()
 * metrics.requests.inc({ outcome: 'answered' })
 */
export function createMetrics() {
  const registry = new Registry()
  const registers = [registry]
  return {
    registry,
    requests: new Counter({
      name: 'wagtailway_gateway_requests_total',
      help: 'Requests of callers by how they ended',
      labelNames: ['outcome'],
      registers,
    }),
    callersLeft: new Counter({
      name: 'wagtailway_gateway_callers_left_total',
      help: 'Requests whose callers closed their connections before the answer, by what was done for them then',
      labelNames: ['state'],
      registers,
    }),
    refusals: new Counter({
      name: 'wagtailway_gateway_refusals_total',
      help: 'Refused requests by reason',
      labelNames: ['reason'],
      registers,
    }),
    admissions: new Counter({
      name: 'wagtailway_gateway_admissions_total',
      help: 'Requests of services with models by admission: sent, demoted, shed or over_share',
      labelNames: ['service', 'decision'],
      registers,
    }),
    admittedRatio: new Gauge({
      name: 'wagtailway_gateway_admitted_ratio',
      help: 'Part of the requests of a service that admission lets through, from 0 to 1',
      labelNames: ['service'],
      registers,
    }),
    retries: new Counter({
      name: 'wagtailway_gateway_repeats_total',
      help: 'Requests sent to a backend server once more, by reason',
      labelNames: ['reason'],
      registers,
    }),
    attempts: new Counter({
      name: 'wagtailway_gateway_attempts_total',
      help: 'Sends to backend servers by how they ended',
      labelNames: ['result'],
      registers,
    }),
    droppedLogLines: new Counter({
      name: 'wagtailway_gateway_log_lines_dropped_total',
      help: 'Log lines that were not written, by reason: rate or output',
      labelNames: ['reason'],
      registers,
    }),
    serverConnections: new Counter({
      name: 'wagtailway_gateway_server_connections_total',
      help: 'New connections to backend servers, by path: direct, relayed or none',
      labelNames: ['path'],
      registers,
    }),
    serverStatements: new Gauge({
      name: 'wagtailway_gateway_server_statements',
      help: 'Backend servers that say of themselves leaving, hold or brittle',
      labelNames: ['type'],
      registers,
    }),
    lostPaths: new Gauge({
      name: 'wagtailway_gateway_lost_paths',
      help: 'Backend servers to which this instance has no direct path',
      registers,
    }),
    relayRequests: new Counter({
      name: 'wagtailway_gateway_relay_requests_total',
      help: 'Connections that other instances asked this one to relay, by result',
      labelNames: ['result'],
      registers,
    }),
    relayedConnections: new Gauge({
      name: 'wagtailway_gateway_relayed_connections',
      help: 'Connections of other instances that this one relays now',
      registers,
    }),
    loopDelaySeconds: new Gauge({
      name: 'wagtailway_gateway_loop_delay_seconds',
      help: 'How late the event loop runs its timers, moving average',
      registers,
    }),
    unforeseenErrors: new Counter({
      name: 'wagtailway_gateway_unforeseen_errors_total',
      help: 'Errors that no code handles, by how they came up; the process drains after one',
      labelNames: ['kind'],
      registers,
    }),
    failures: new Counter({
      name: 'wagtailway_gateway_failures_total',
      help: 'Errors of this program that ended one exchange, or one turn of a loop, by work and place',
      labelNames: ['work', 'place'],
      registers,
    }),
    responseSeconds: new Histogram({
      name: 'wagtailway_gateway_answer_seconds',
      help: 'Time from a request to its whole answer',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    firstByteSeconds: new Histogram({
      name: 'wagtailway_gateway_first_byte_seconds',
      help: 'Time from a request to the first byte of its answer',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    inProgress: new Gauge({
      name: 'wagtailway_gateway_requests_in_progress',
      help: 'Requests of callers in progress',
      registers,
    }),
    memoryBytes: new Gauge({
      name: 'wagtailway_gateway_memory_bytes',
      help: 'Memory by part: the limit, what is resident, and the size of each share and what is held of it',
      labelNames: ['part'],
      registers,
    }),
    stalledTransfers: new Counter({
      name: 'wagtailway_gateway_stalled_transfers_total',
      help: 'Transfers that were ended because they stood still while memory was short, by kind',
      labelNames: ['kind'],
      registers,
    }),
    clientLimits: new Counter({
      name: 'wagtailway_gateway_client_limits_total',
      help: 'Requests and connections that were refused or ended as their client holds too much, by socket and limit',
      labelNames: ['socket', 'limit'],
      registers,
    }),
    storeCalls: new Counter({
      name: 'wagtailway_gateway_store_calls_total',
      help: "Calls to the platform's store by how they ended",
      labelNames: ['call', 'result'],
      registers,
    }),
    peerFaults: new Counter({
      name: 'wagtailway_gateway_peer_faults_total',
      help: 'Reports between entry instances that could not be sent or read',
      labelNames: ['detail'],
      registers,
    }),
    feedUpdates: new Counter({
      name: 'wagtailway_gateway_feed_updates_total',
      help: 'Lists and changes of followed objects that were applied, by kind and source',
      labelNames: ['kind', 'source'],
      registers,
    }),
    feedPolls: new Counter({
      name: 'wagtailway_gateway_feed_polls_total',
      help: 'Polls of the store for followed objects, by kind and reason',
      labelNames: ['kind', 'reason'],
      registers,
    }),
    feedPulls: new Counter({
      name: 'wagtailway_gateway_feed_pulls_total',
      help: 'Requests for updates to other entry instances, by kind and result',
      labelNames: ['kind', 'result'],
      registers,
    }),
    storeRestores: new Counter({
      name: 'wagtailway_gateway_store_restores_total',
      help: 'Restores of the store from an older copy that were noticed, by kind of object',
      labelNames: ['kind'],
      registers,
    }),
    evacuatedZones: new Gauge({
      name: 'wagtailway_gateway_evacuated_zones',
      help: 'Availability zones that this instance takes as evacuated',
      registers,
    }),
    evacuationChanges: new Counter({
      name: 'wagtailway_gateway_evacuation_changes_total',
      help: 'Changes of evacuations that were applied, by state',
      labelNames: ['state'],
      registers,
    }),
    storeEra: new Gauge({
      name: 'wagtailway_gateway_store_era',
      help: 'Era of the store, which rises when it is restored from an older copy, by kind of object',
      labelNames: ['kind'],
      registers,
    }),
    feedAgeSeconds: new Gauge({
      name: 'wagtailway_gateway_feed_age_seconds',
      help: 'Time since followed objects were last confirmed to be current, by kind',
      labelNames: ['kind'],
      registers,
    }),
    serverCrashes: new Counter({
      name: 'wagtailway_gateway_server_crashes_total',
      help: 'Backend servers whose unplanned end this instance noticed, by service',
      labelNames: ['service'],
      registers,
    }),
    quarantinedParts: new Gauge({
      name: 'wagtailway_gateway_quarantined_parts',
      help: 'Prompt parts whose requests are refused because servers crashed under them',
      registers,
    }),
    quarantinedRequests: new Gauge({
      name: 'wagtailway_gateway_quarantined_requests',
      help: 'Contents of requests that are refused because servers crashed under them',
      registers,
    }),
    limitedServers: new Gauge({
      name: 'wagtailway_gateway_limited_servers',
      help: 'Backend servers that name a rate limit',
      registers,
    }),
    coldServers: new Gauge({
      name: 'wagtailway_gateway_cold_servers',
      help: 'Backend servers that are cold, as of the last change of one',
      registers,
    }),
    warmupAsks: new Counter({
      name: 'wagtailway_gateway_warmup_asks_total',
      help: 'Asks for permits to send requests to cold backend servers, by result',
      labelNames: ['result'],
      registers,
    }),
    waitingSockets: new Gauge({
      name: 'wagtailway_gateway_sockets_waiting',
      help: 'Listening sockets that are not bound yet, as their address is taken (1) or was (0)',
      labelNames: ['socket'],
      registers,
    }),
    socketErrors: new Counter({
      name: 'wagtailway_gateway_socket_errors_total',
      help: 'Errors of listening sockets, by socket and code of the system',
      labelNames: ['socket', 'code'],
      registers,
    }),
    configVersion: new Gauge({
      name: 'wagtailway_gateway_config_version',
      help: 'Version of the configuration in force',
      registers,
    }),
  }
}
