/** Runs the gateway inside a test, on the stand-in of the users' store. */
import { createServer } from 'node:net'
import { createMetrics, runGateway, type Log } from '@wagtailway/gateway'
import { PlatformStore, StoreClient, platformHeaders } from '@wagtailway/platform'
import { callFleet } from './fleetClient.js'

export interface LogLine {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

export interface TestGateway {
  readonly port: number
  readonly lines: readonly LogLine[]
  /** Asks the gateway to leave; resolves once it has left. */
  close(): Promise<void>
  isReady(): Promise<boolean>
}

const LOCALHOST = '127.0.0.1'

/** Time within which a test waits for something that must come, in milliseconds. */
const PATIENCE_MS = 12_000

/**
 * Starts a gateway.
 *
 * @example
 * const gateway = await startGateway('n1', store.port)
 * await eventually(() => gateway.isReady())
 */
export async function startGateway(
  name: string,
  storePort: number,
): Promise<TestGateway> {
  const [callers, readiness, metrics, peerPort, feeds] = await freePorts(5)
  const lines: LogLine[] = []
  const log: Log = (event, fields) => lines.push({ event, fields })
  let end: () => void = () => undefined
  const left = runGateway({
    settings: {
      name,
      zone: 'z1',
      host: LOCALHOST,
      peerPort: peerPort ?? 0,
      feeds: { host: LOCALHOST, port: feeds ?? 0 },
      seedHosts: [],
      callers: { host: LOCALHOST, port: callers ?? 0 },
      readiness: { host: LOCALHOST, port: readiness ?? 0 },
      metrics: { host: LOCALHOST, port: metrics ?? 0 },
      graceMs: 4_000,
      maxPropagationMs: 2_000,
      bounds: {
        retryRatio: 0.9,
        retryWindowMs: 10_000,
        retrySlack: 60,
        exposureShare: 0.15,
        sessionGapMs: 1_000,
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
      end = resolve
    }),
  })
  return {
    port: callers ?? 0,
    lines,
    close: async () => {
      end()
      await left
    },
    isReady: async () => {
      const answer = await callFleet({ port: readiness ?? 0, path: '/-/readiness' })
      return answer.status === 200
    },
  }
}

/** Waits until something holds. */
export async function eventually(holds: () => Promise<boolean> | boolean): Promise<void> {
  const untilMs = performance.now() + PATIENCE_MS
  while (!(await holds())) {
    if (performance.now() > untilMs) throw new Error(`not within ${PATIENCE_MS} ms`)
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
}

/** Ports that are free now. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, LOCALHOST, () => {
            const address = server.address()
            resolve(typeof address === 'object' && address ? address.port : 0)
          })
        }),
    ),
  )
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  )
  return ports
}
