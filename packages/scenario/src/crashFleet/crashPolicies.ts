/** Ways to treat requests under which servers crash, for comparison in virtual time. */
import type { Clock } from '@wagtailway/core'
import {
  CrashQuarantine,
  createMetrics,
  type BackendServer,
  type ConnectionResult,
  type CrashReport,
  type RequestInFlight,
  type RequestTrait,
} from '@wagtailway/gateway'

export interface GuardOptions {
  readonly clock: Clock
  readonly probe: (host: string, port: number) => Promise<ConnectionResult>
  /** Called when the other instances should learn something at once. */
  readonly onNews: () => void
}

/** What one entry instance does about crashes. */
export interface CrashGuard {
  admits(traits: readonly RequestTrait[]): boolean
  begin(server: BackendServer, traits: readonly RequestTrait[]): RequestInFlight
  recordRefusedConnection(server: BackendServer): void
  /** Records that an attempt broke; returns whether its request may be retried. */
  mayRetry(
    server: BackendServer,
    inFlight: RequestInFlight,
    crashes: number,
  ): Promise<boolean>
  /** Report for the other instances; `undefined` if there is nothing to tell. */
  report(): CrashReport | undefined
  applyReport(peer: string, report: CrashReport): void
  refresh(alivePeers: ReadonlySet<string>): void
  quarantined(trait: string): boolean
}

/** Creates the guard of one entry instance. */
export type CrashPolicy = (opts: GuardOptions) => CrashGuard

const NOT_TRACKED: RequestInFlight = {
  isSuspect: false,
  recordSound: () => undefined,
  end: () => undefined,
  discard: () => undefined,
}

const NO_GUARD: CrashGuard = {
  admits: () => true,
  begin: () => NOT_TRACKED,
  recordRefusedConnection: () => undefined,
  mayRetry: () => Promise.resolve(true),
  report: () => undefined,
  applyReport: () => undefined,
  refresh: () => undefined,
  quarantined: () => false,
}

/** Retries every request and remembers nothing. */
export const noProtection: CrashPolicy = () => NO_GUARD

/** Never retries a request whose connection broke. */
export const singleAttempt: CrashPolicy = () => ({
  ...NO_GUARD,
  mayRetry: () => Promise.resolve(false),
})

/** Broken requests with one first part after which its circuit opens. */
const BREAKER_FAILURES = 3

/** Time for which a circuit stays open, in milliseconds. */
const BREAKER_OPEN_MS = 5_000

/** Refuses all requests with a first part after three of them broke in a row. */
export const firstPartBreaker: CrashPolicy = ({ clock }) => {
  const failures = new Map<string, number>()
  const openUntilMs = new Map<string, number>()
  return {
    ...NO_GUARD,
    admits: ([first]) => (openUntilMs.get(first?.id ?? '') ?? 0) <= clock(),
    begin: (_server, [first]) => {
      const id = first?.id ?? ''
      return {
        ...NOT_TRACKED,
        recordSound: () => {
          failures.delete(id)
        },
        end: () => {
          const count = (failures.get(id) ?? 0) + 1
          failures.set(id, count)
          if (count < BREAKER_FAILURES) return
          failures.delete(id)
          openUntilMs.set(id, clock() + BREAKER_OPEN_MS)
        },
      }
    },
    quarantined: (part) => (openUntilMs.get(part) ?? 0) > clock(),
  }
}

/** Crashes under one request after which it gets no further server, as in the gateway. */
const MAX_SUSPECTED_CRASHES = 2

/** Quarantines the trait that explains the crashes, as the gateway does. */
export const traitQuarantine: CrashPolicy = ({ clock, probe, onNews }) => {
  const quarantine = CrashQuarantine.create({
    clock,
    log: () => undefined,
    metrics: createMetrics(),
    probe: ({ host, port }) => probe(host, port),
    isPlannedEnd: () => false,
  })
  quarantine.onNews = onNews
  return {
    admits: (traits) => quarantine.admit(traits) === undefined,
    begin: (server, traits) => quarantine.begin(server, traits),
    recordRefusedConnection: (server) => {
      quarantine.recordRefusedConnection(server)
    },
    mayRetry: async (server, inFlight, crashes) => {
      const hasEnded = await quarantine.hasEnded(server)
      return !(hasEnded && inFlight.isSuspect && crashes + 1 >= MAX_SUSPECTED_CRASHES)
    },
    report: () => {
      const { report } = quarantine
      const { crashes, sound, traits } = report
      return crashes.length + sound.length + traits.length > 0 ? report : undefined
    },
    applyReport: (peer, report) => {
      quarantine.applyReport(peer, report)
    },
    refresh: (alivePeers) => {
      quarantine.refresh(alivePeers)
    },
    quarantined: (trait) => quarantine.traits.has(trait),
  }
}
