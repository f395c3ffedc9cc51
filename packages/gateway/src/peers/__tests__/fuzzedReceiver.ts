/** An instance without sockets that applies datagrams and then does what its timers do. */
import assert from 'node:assert/strict'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import { FeedEncoder } from '../../feed/feedCodec.js'
import { FeedPuller } from '../../feed/feedPuller.js'
import { at, createTestFeed } from '../../feed/__tests__/testFeed.js'
import { ServerLimiter } from '../../limits/serverLimiter.js'
import { LoadExchange } from '../../loads/loadExchange.js'
import {
  decodeLoadMessage,
  encodeLoadMessage,
  type LoadMessage,
} from '../../loads/loadMessage.js'
import type { BackendServer } from '../../model/backendServer.js'
import { createMetrics } from '../../observe/metrics.js'
import { PrefillSpeeds } from '../../placement/prefillSpeeds.js'
import { selectPlacement } from '../../placement/selectPlacement.js'
import { LoadTable } from '../../placement/serverLoad.js'
import { CrashQuarantine } from '../../quarantine/crashQuarantine.js'
import { RecentSessions } from '../../rollout/recentSessions.js'
import { RolloutController } from '../../rollout/rolloutController.js'
import { RolloutTable } from '../../rollout/rolloutTable.js'
import { VersionEvidence } from '../../rollout/versionEvidence.js'
import { ServerTable } from '../../servers/serverTable.js'
import { PlaceLimiter } from '../../statements/placeLimiter.js'
import {
  decodePlaceDatagram,
  encodePlaceDatagram,
  type PlaceDatagram,
} from '../../statements/placeMessage.js'
import { StatementTable } from '../../statements/statementTable.js'
import { PeerTable } from '../peerTable.js'
import { decodeReport, encodeReport, type PeerReport } from '../peerReport.js'
import {
  decodePermitMessage,
  encodePermitMessage,
  type PermitMessage,
} from '../permitMessage.js'

const FROM = { host: '10.0.0.2', port: 7_340 }
const SERVICE = 'a'
const TARGET = 'v2'

/** Times that the timers run after the datagrams, and the time between. */
const ROUNDS = 3
const ROUND_MS = 400

export const SERVERS: readonly BackendServer[] = ['s1', 's2', 's3'].map((id, i) => ({
  id,
  startedAtMs: 5,
  service: SERVICE,
  host: '10.0.0.1',
  port: 80 + i,
  zone: 'z1',
  version: i === 0 ? TARGET : 'v1',
  slots: 6,
  isDraining: false,
}))

const metrics = createMetrics()

/** Writes a line as the log does, to nowhere. */
function log(event: string, fields: object): void {
  JSON.stringify({ event, ...fields })
}

/**
 * The tables of one instance.
 *
 * @example
 * const receiver = FuzzedReceiver.create()
 * receiver.receive(datagram)
 * await receiver.run()
 */
export class FuzzedReceiver {
  readonly #clock = VirtualClock.create(100_000)
  readonly #random = seededRandom(1)
  #timers: { atMs: number; action: () => void }[] = []
  readonly #peers = PeerTable.create(
    { name: 'n1', zone: 'z1', linkMbps: 10 },
    this.#clock.now,
  )
  readonly #load = LoadTable.create(this.#clock.now)
  readonly #speeds = PrefillSpeeds.create(this.#clock.now)
  readonly #evidence = VersionEvidence.create(this.#clock.now)
  readonly #rollouts = RolloutTable.create(
    this.#clock.now,
    RecentSessions.create(this.#clock.now, 5_000),
  )
  readonly #servers = ServerTable.create(this.#clock.now, () => undefined)
  readonly #feed = createTestFeed<unknown>(this.#clock.now)
  readonly #encoder = FeedEncoder.create()
  readonly #puller = FeedPuller.create({
    zone: 'z1',
    clock: this.#clock.now,
    random: this.#random,
    sleep: () => Promise.resolve(this.#clock.advance(1)),
    feeds: [this.#feed],
    pull: () => Promise.reject(new Error('no answer')),
    onPulled: () => undefined,
    onFailed: () => undefined,
  })
  readonly #after = (ms: number, action: () => void): void => {
    this.#timers.push({ atMs: this.#clock.now() + ms, action })
  }
  readonly #issuers = (): string[] => ['n1', ...this.#peers.permitIssuers]
  readonly #limiter = ServerLimiter.create({
    name: 'n1',
    clock: this.#clock.now,
    random: this.#random,
    after: this.#after,
    issuers: this.#issuers,
    fleetShare: () => this.#peers.fleetShare,
    onChange: (change) => {
      log('server_limit', change)
    },
    onInvalid: () => undefined,
  })
  readonly #statements = StatementTable.create({
    name: 'n1',
    clock: this.#clock.now,
    onChange: (change) => {
      log('server_statement', change)
    },
    onInvalid: () => undefined,
  })
  readonly #places = PlaceLimiter.create({
    name: 'n1',
    clock: this.#clock.now,
    random: this.#random,
    firstSequence: 0,
    after: this.#after,
    issuers: this.#issuers,
    isBrittle: (server) => this.#statements.isBrittle(server) || server.id === 's2',
  })
  readonly #quarantine = CrashQuarantine.create({
    clock: this.#clock.now,
    log,
    metrics,
    probe: () => Promise.resolve('refused'),
    isPlannedEnd: () => false,
  })
  readonly #controller = RolloutController.create({
    clock: this.#clock.now,
    log,
    rollouts: this.#rollouts,
    evidence: this.#evidence,
    servers: this.#servers,
    load: this.#load,
    exposure: { share: 0.15, slack: 30 },
    instanceCount: () => this.#peers.aliveCount,
    rank: () => this.#peers.rank(),
    peerElapsedMs: (service, target) => this.#peers.rolloutElapsedMs(service, target),
    write: () => Promise.resolve(),
  })
  readonly #exchange = LoadExchange.create({
    name: 'n1',
    zone: 'z1',
    clock: this.#clock.now,
    load: this.#load,
    prefillSpeeds: this.#speeds,
    marks: () => [this.#feed.mark],
    instancesByZone: () => this.#peers.instancesByZone(false),
    send: (message) => {
      assert.ok(decodeLoadMessage(encodeLoadMessage(message)), 'own load message')
    },
    onChange: (state) => {
      log('fleet_loads', state)
    },
  })
  #sequence = 1_000

  private constructor() {
    this.#servers.replaceAll(SERVERS)
    this.#feed.applyList([{ name: 'main', object: {} }], at(5), 100_000, 'store')
    this.#rollouts.put({
      service: SERVICE,
      target: TARGET,
      durationMs: 15_000,
      state: 'running',
      share: 0.1,
      revision: 1,
    })
    this.#limiter.sendAsk = (_issuer, ask) => {
      const datagram = encodePermitMessage({ type: 'ask', asker: 'n1', ask })
      assert.ok(decodePermitMessage(datagram), 'own ask for permits')
    }
    this.#places.send = (_issuer, message) => {
      const datagram = encodePlaceDatagram({ type: 'use', sender: 'n1', message })
      assert.ok(decodePlaceDatagram(datagram), 'own message about places')
    }
    this.#load.begin('s1', 60, 1)
  }

  static create(): FuzzedReceiver {
    return new FuzzedReceiver()
  }

  /** Applies a datagram in the order of the peer link; false if it can't be read. */
  receive(datagram: Buffer): boolean {
    const readers = [
      () =>
        apply(decodeLoadMessage(datagram), (loads) => {
          this.#applyLoads(loads)
        }),
      () =>
        apply(decodePermitMessage(datagram), (told) => {
          this.#applyPermits(told)
        }),
      () =>
        apply(decodePlaceDatagram(datagram), (told) => {
          this.#applyPlaces(told)
        }),
      () =>
        apply(decodeReport(datagram), (report) => {
          this.#applyReport(report)
        }),
    ]
    return readers.some((read) => read())
  }

  /** Does what timers and requests do some times; throws if any of it does. */
  async run(): Promise<void> {
    for (let round = 0; round < ROUNDS; round += 1) {
      const report = decodeReport(encodeReport(this.#createReport()))
      assert.ok(report, 'own report')
      this.#exchange.advance()
      this.#limiter.refresh()
      this.#places.refresh()
      const alive = this.#peers.aliveNames
      this.#quarantine.refresh(alive)
      this.#speeds.retainPeers(alive)
      this.#evidence.removeOutdated(alive)
      await this.#controller.advance()
      this.#serveFeed()
      for (const server of SERVERS) this.#useServer(server)
      this.#crashServers(round)
      this.#place()
      this.#advance()
      // Continuations of asks and pulls.
      await new Promise((resolve) => setImmediate(resolve))
    }
  }

  #applyLoads(loads: LoadMessage): void {
    this.#puller.applyMarks(loads.marks, { host: FROM.host, zone: loads.zone })
    this.#exchange.receive(loads, { name: loads.sender, ...FROM })
  }

  #applyPermits(message: PermitMessage): void {
    if (message.type === 'grant') {
      this.#limiter.applyGrant(message.id, message.grant)
      return
    }
    const { asker, ask } = message
    const grant = this.#limiter.answer(asker, ask)
    const answer = encodePermitMessage({ type: 'grant', id: ask.id, grant })
    assert.ok(decodePermitMessage(answer), 'own grant')
  }

  #applyPlaces(datagram: PlaceDatagram): void {
    if (datagram.type === 'answer')
      this.#places.applyAnswer(datagram.askId, datagram.granted)
    else this.#places.receive(datagram.sender, datagram.message, () => undefined)
  }

  #applyReport(report: PeerReport): void {
    if (!this.#peers.applyReport(report, FROM)) return
    const { name } = report
    this.#puller.applyMarks(report.feedMarks, { host: FROM.host, zone: report.zone })
    this.#load.applyReport(name, report.loads)
    this.#evidence.applyReport(name, report.evidence)
    for (const { service, target, isWithdrawn } of report.rollouts)
      if (isWithdrawn) this.#controller.applyPeerWithdrawal(service, target, name)
    this.#speeds.applyReport(name, report.prefillSpeeds)
    this.#quarantine.applyReport(name, report.crashReport)
    this.#limiter.applyReport(name, report.limits ?? [])
    this.#statements.applyReport(name, report.statements)
    for (const hash of report.sessionHashes)
      this.#rollouts.recentSessions.recordPeerUse(hash)
  }

  #createReport(): PeerReport {
    this.#sequence += 1
    return {
      name: 'n1',
      zone: 'z1',
      linkMbps: 10,
      sequence: this.#sequence,
      isDraining: false,
      loads: this.#load.localLoads,
      evidence: this.#rollouts.running().map(({ service, target }) => ({
        service,
        target,
        observations: this.#evidence.reportedObservations(service, target),
      })),
      rollouts: this.#rollouts.running().map((rollout) => ({
        service: rollout.service,
        target: rollout.target,
        elapsedMs: this.#controller.elapsedMs(rollout),
        isWithdrawn: this.#rollouts.isWithdrawn(rollout.service, rollout.target),
      })),
      sessionHashes: this.#rollouts.recentSessions.hashesWithin(5_000),
      unreachableServers: [],
      prefillSpeeds: this.#speeds.localSpeeds,
      feedMarks: [this.#feed.mark],
      crashReport: this.#quarantine.report,
      limits: this.#limiter.reported,
      cutOffServices: [],
      statements: this.#statements.reported,
    }
  }

  #serveFeed(): void {
    for (const revision of [0, 5]) {
      const update = this.#feed.updateSince(at(revision))
      JSON.parse(this.#encoder.encode(update, false).body.toString())
    }
  }

  #useServer(server: BackendServer): void {
    for (const urgency of [0, 9]) {
      this.#limiter.availability(server, urgency)
      const limit = this.#limiter.describe(server, urgency)
      const delayMs = this.#limiter.returnDelayMs(SERVICE, limit ? [limit] : [])
      assert.ok(delayMs >= 0 && delayMs <= 10_000, `return after ${delayMs} ms`)
      void this.#limiter.acquire(server, urgency)
    }
    void this.#places.acquire(server)
    const heldForMs = this.#statements.heldForMs(server)
    assert.ok(heldForMs >= 0, `held for ${heldForMs} ms`)
    this.#statements.leavingForMs(server)
    this.#evidence.recordResult(server, 'lookup', 'ok')
    this.#evidence.recordSpeed(server, 'lookup', 15)
  }

  #crashServers(round: number): void {
    const traits = [
      { id: 't7', position: 0 },
      { id: 't3', position: 1 },
    ]
    this.#quarantine.admit(traits)
    for (const server of SERVERS) {
      const incarnation = { ...server, startedAtMs: 5 + round }
      this.#quarantine.begin(incarnation, traits)
      this.#quarantine.recordRefusedConnection(incarnation)
      this.#clock.advance(50)
    }
  }

  #place(): void {
    const placement = selectPlacement(
      SERVERS,
      {
        affinityKey: 't3',
        sharedTokens: 400,
        uniqueTokens: 300,
        prefillMsPerToken: (preceding) => this.#speeds.msPerToken('large', preceding),
        urgencyOf: () => 1,
        hasOldLoads: this.#load.hasFleetLoads,
        zone: 'z1',
        hasCachedPrefix: () => false,
      },
      (id) => this.#load.total(id),
      this.#random,
    )
    assert.ok(placement, 'a server for a request')
    assert.ok(Number.isFinite(placement.expectedFirstByteMs), 'a finite expectation')
  }

  #advance(): void {
    this.#clock.advance(ROUND_MS)
    const nowMs = this.#clock.now()
    const due = this.#timers.filter(({ atMs }) => atMs <= nowMs)
    this.#timers = this.#timers.filter(({ atMs }) => atMs > nowMs)
    for (const { action } of due) action()
  }
}

/** Applies a message if the datagram is one; returns whether it is. */
function apply<T>(message: T | undefined, action: (message: T) => void): boolean {
  if (message === undefined) return false
  action(message)
  return true
}
