/** Runs a gateway inside the test process, with a stand-in for the users' store. */
import assert from 'node:assert/strict'
import {
  ERROR_EVENTS,
  createMetrics,
  runGateway,
  type GatewayBounds,
  type Log,
} from '@wagtailway/gateway'
import { PlatformStore, StoreClient, platformHeaders } from '@wagtailway/platform'
import { sendToFleet } from './fleetClient.js'
import { findFreePorts } from './freePorts.js'

export interface LogLine {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

export interface TestGateway {
  readonly port: number
  /** Port on which other instances send reports and ask for connections. */
  readonly peerPort: number
  /** Port on which other instances pull feeds. */
  readonly feedPort: number
  readonly lines: readonly LogLine[]
  /** Requests the shutdown of the gateway; resolves once it has completed. */
  close(): Promise<void>
  isReady(): Promise<boolean>
}

const LOCALHOST = '127.0.0.1'

const SOCKET_SETTINGS = {
  callers: 'callers',
  readiness: 'readiness',
  feeds: 'feeds',
  reports: 'peers',
  relays: 'peers',
  metrics: 'metrics',
}

/** Longest wait for a condition that must become true, in milliseconds. */
const WAIT_TIMEOUT_MS = 12_000

/**
 * Starts a gateway.
 *
 * @param bounds Limits that differ from the usual ones.
 * @param zone Availability zone of the gateway.
 * @param graceMs Time from the request to shut down to the end of the process, in
 *   milliseconds.
 *
 * @example
 * const gateway = await startGateway('n1', store.port)
 * await waitUntil(() => gateway.isReady())
 */
export async function startGateway(
  name: string,
  storePort: number,
  bounds: Partial<GatewayBounds> = {},
  zone = 'z1',
  graceMs = 4_000,
): Promise<TestGateway> {
  const [callers, readiness, metrics, peerPort, feeds] = await findFreePorts(5)
  const lines: LogLine[] = []
  const log: Log = (event, fields) => lines.push({ event, fields })
  let requestShutdown: () => void = () => undefined
  const exited = runGateway({
    settings: {
      name,
      zone,
      host: LOCALHOST,
      peerPort: peerPort ?? 0,
      feedAddress: { host: LOCALHOST, port: feeds ?? 0 },
      seedHosts: [],
      callerAddress: { host: LOCALHOST, port: callers ?? 0 },
      readinessAddress: { host: LOCALHOST, port: readiness ?? 0 },
      metricsAddress: { host: LOCALHOST, port: metrics ?? 0 },
      socketSettings: SOCKET_SETTINGS,
      linkMbps: 1_000,
      memoryBytes: 350 * 1_048_576,
      graceMs,
      maxPropagationMs: 2_000,
      bounds: {
        retryRatio: 0.9,
        retryWindowMs: 10_000,
        retrySlack: 60,
        exposure: { share: 0.15, slack: 30 },
        sessionGapMs: 1_000,
        ...bounds,
      },
    },
    cascade: { path: 'ends' },
    dialect: platformHeaders,
    store: PlatformStore.create(
      StoreClient.create({
        url: `http://${LOCALHOST}:${storePort}`,
        onCall: () => undefined,
      }),
    ),
    log,
    metrics: createMetrics(),
    shutdownRequested: new Promise<void>((resolve) => {
      requestShutdown = resolve
    }),
  })
  return {
    port: callers ?? 0,
    peerPort: peerPort ?? 0,
    feedPort: feeds ?? 0,
    lines,
    close: async () => {
      requestShutdown()
      await exited
      const failures = lines.filter(({ event }) => ERROR_EVENTS.has(event))
      assert.deepEqual(failures, [])
    },
    isReady: async () => {
      const response = await sendToFleet({ port: readiness ?? 0, path: '/-/readiness' })
      return response.status === 200
    },
  }
}

/** Polls until the condition is true; rejects after `WAIT_TIMEOUT_MS`. */
export async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS
  while (!(await condition())) {
    if (performance.now() > deadlineMs)
      throw new Error(`the condition was not true within ${WAIT_TIMEOUT_MS} ms`)
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
}
