/** Opens connections to backend servers and finds out which paths to them work. */
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { callOwned, type Clock, type Random } from '@wagtailway/core'
import type { ConnectionResult } from '../forward/probeConnection.js'
import type { BackendServer } from '../model/backendServer.js'
import type { GatewayMetrics } from '../observe/metrics.js'
import type { PeerTable } from '../peers/peerTable.js'
import { bringsResponse, connectDirectly, connectSteadily } from './directConnection.js'
import {
  dial,
  type CancelTimer,
  type DialResult,
  type PendingConnection,
} from './dial.js'
import type { PathFailure, PathFinding, PathPlan, PathTable } from './pathTable.js'
import { connectThrough } from './relayClient.js'
import { findResponsiveRelay } from './findResponsiveRelay.js'
import { selectRelay } from './selectRelay.js'

/** Interval of the checks of lost paths, in milliseconds. */
const CHECK_INTERVAL_MS = 500

/** Lost servers of each service that are checked at a time. */
const CHECKS_AT_A_TIME = 4

/** Time after which a check of a direct connection has failed, in milliseconds. */
const CHECK_TIMEOUT_MS = 250

/** Time for which the response to a health check is awaited, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000

/**
 * Time after a response through a relay in which a direct one must arrive, in milliseconds:
 * a slot may become free for the one before the other.
 */
const LATER_RESPONSE_MS = 400

/** Silent servers in a row from which the path is suspected instead of the servers. */
const MIN_SILENT_SERVERS = 2

/** What a check of a server showed; `unchecked` if it gets no new connections. */
export type PathCheck = 'direct' | 'relayed' | 'refused' | 'unreachable' | 'unchecked'

/** Result of a dial to a server that gets no new connections. */
const NOT_DIALLED = {
  type: 'failed',
  isRefused: false,
  isConfirmed: false,
  detail: 'the zone is evacuated',
} as const

export interface ServerDialerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly zone: string
  readonly paths: PathTable
  readonly peers: Pick<PeerTable, 'relays' | 'isAlive' | 'aliveCount'>
  /** Servers that take new requests. */
  readonly servers: () => readonly BackendServer[]
  /** Whether a server gets new connections; false while its zone is evacuated. */
  readonly mayConnect: (server: BackendServer) => boolean
  /** Path of a service's health check. */
  readonly healthPathOf: (service: string) => string
  /** Called when a server can't be reached from several zones. */
  readonly onServerFailed: (server: BackendServer) => void
  /** Called when a check of a server failed for an error of this program. */
  readonly onCheckFailed: (err: unknown, server: BackendServer) => void
  readonly metrics: Pick<GatewayMetrics, 'serverConnections'>
}

/**
 * Dials backend servers.
 *
 * @example
 * const dialer = ServerDialer.create(options)
 * const result = await dialer.dial(server)
 * dialer.close()
 */
export class ServerDialer {
  readonly #checks = new Map<string, Promise<PathCheck>>()
  readonly #muteChecks = new Map<string, Promise<boolean>>()
  /** Servers by service that were silent since the last response on a direct path. */
  readonly #silent = new Map<string, Set<string>>()
  readonly #timer: NodeJS.Timeout
  #isClosed = false

  private constructor(private readonly opts: ServerDialerOptions) {
    this.#timer = setInterval(() => {
      this.checkLost()
    }, CHECK_INTERVAL_MS)
  }

  static create(opts: ServerDialerOptions): ServerDialer {
    return new ServerDialer(opts)
  }

  /** Opens a connection on the path that is known to work, or on the first that does. */
  async dial(server: BackendServer): Promise<DialResult<Socket>> {
    const result = await this.#dialOpen(server)
    const path =
      result.type === 'failed'
        ? 'none'
        : result.relay === undefined
          ? 'direct'
          : 'relayed'
    this.opts.metrics.serverConnections.inc({ path })
    return result
  }

  /**
   * Finds out whether a server can be reached, and on which path. Concurrent checks of one
   * server are one.
   */
  check(server: BackendServer): Promise<PathCheck> {
    if (!this.opts.mayConnect(server)) return Promise.resolve('unchecked')
    return runOnce(this.#checks, server.id, () =>
      callOwned('path check', server.id, () => this.#check(server)).catch(
        (err: unknown) => {
          this.opts.onCheckFailed(err, server)
          return 'unreachable' as const
        },
      ),
    )
  }

  /**
   * Tells a server that is busy from one that can't be reached on the path that an attempt
   * uses.
   *
   * @param relay Instance that relays the attempt's connection.
   */
  async probe(
    server: BackendServer,
    relay: string | undefined,
  ): Promise<ConnectionResult> {
    const check = await this.check(server)
    if (check === 'refused') return 'refused'
    // What it has begun runs to its end.
    if (check === 'unchecked') return 'accepted'
    if (check === 'unreachable') return 'no_response'
    if (relay === undefined) return check === 'direct' ? 'accepted' : 'no_response'
    return this.opts.peers.isAlive(relay) ? 'accepted' : 'no_response'
  }

  /** Records that a response arrived from a server. */
  recordResponse(server: BackendServer, relay: string | undefined): void {
    if (relay !== undefined) return
    this.#silent.delete(server.service)
    // A connection that was open before may live on while new ones fail.
    if (this.opts.paths.get(server.id)?.failure === 'mute')
      this.opts.paths.recordDirect(server)
  }

  /**
   * Finds out why a server sent nothing on a connection that works as far as TCP can tell:
   * resolves to `direct` if the cause is the server.
   */
  async checkSilence(
    server: BackendServer,
    relay: string | undefined,
  ): Promise<PathCheck> {
    const check = await this.check(server)
    if (check !== 'direct' || relay !== undefined) return check
    const { service } = server
    const silent = (this.#silent.get(service) ?? new Set()).add(server.id)
    this.#silent.set(service, silent)
    const serverCount = this.opts
      .servers()
      .filter((other) => other.service === service).length
    if (silent.size < Math.min(MIN_SILENT_SERVERS, serverCount)) return check
    return (await this.#isMute(server)) ? 'relayed' : check
  }

  /** Checks the servers without a direct path, some at a time. */
  checkLost(): void {
    for (const server of this.opts.paths.dueForCheck(CHECKS_AT_A_TIME))
      void this.#recheck(server)
  }

  /**
   * Checks further servers after the path to one was lost, to learn whether it is the only
   * one.
   */
  checkOthers(lost: BackendServer): void {
    const { paths, servers } = this.opts
    const isMute = paths.get(lost.id)?.failure === 'mute'
    const others = servers().filter(({ id }) => !paths.get(id))
    for (const service of new Set(others.map((other) => other.service))) {
      const candidates = others.filter((other) => other.service === service)
      for (const other of this.#sample(candidates, CHECKS_AT_A_TIME)) {
        if (isMute) void this.#isMute(other)
        else void this.check(other)
      }
    }
  }

  /** Whether servers of a service were silent since the last response from any of them. */
  hasSilentServers(service: string): boolean {
    return this.#silent.has(service)
  }

  close(): void {
    this.#isClosed = true
    clearInterval(this.#timer)
  }

  /** Dials a server whose zone is open when its connection is used. */
  async #dialOpen(server: BackendServer): Promise<DialResult<Socket>> {
    const { mayConnect, paths } = this.opts
    if (!mayConnect(server)) return NOT_DIALLED
    const result = await this.#dial(server, paths.plan(server))
    if (result.type === 'failed' || mayConnect(server)) return result
    result.connection.destroy()
    return NOT_DIALLED
  }

  async #dial(
    server: BackendServer,
    plan: PathPlan,
    directFailure?: PathFailure,
  ): Promise<DialResult<Socket>> {
    const { paths, peers, zone, random, onServerFailed } = this.opts
    const candidates = peers.relays(server.service)
    const result = await dial<Socket>({
      server,
      plan,
      directFailure,
      ownZone: zone,
      isAlone: peers.aliveCount === 1,
      connect: () => connectDirectly(server),
      connectThrough: ({ address }) => connectThrough(address, server),
      nextRelay: (history) => selectRelay(candidates, zone, history, random),
      discard: (socket) => socket.destroy(),
      after,
      onSlow: () => {
        paths.recordSlow(server)
      },
      onDirect: () => {
        this.#recordDirect(server)
      },
      onLost: (finding) => {
        this.#recordLost(server, finding)
      },
    })
    if (result.type === 'failed' && result.isConfirmed) onServerFailed(server)
    return result
  }

  #recordDirect(server: BackendServer): void {
    const { paths } = this.opts
    // An accepted connection doesn't show that a mute path is back.
    if (paths.get(server.id)?.failure !== 'mute') paths.recordDirect(server)
  }

  #recordLost(server: BackendServer, finding: PathFinding): void {
    if (this.#isClosed) return
    const { paths } = this.opts
    const wasLost = paths.get(server.id) !== undefined
    paths.recordLost(server, finding)
    if (!wasLost && finding.state === 'relayed') this.checkOthers(server)
  }

  async #check(server: BackendServer): Promise<PathCheck> {
    const direct = await withinCheckTimeout(connectSteadily(server))
    if (direct.type === 'connected') {
      direct.connection.destroy()
      this.#recordDirect(server)
      return 'direct'
    }
    const result = await this.#dial(server, 'relay', direct.failure)
    if (result.type === 'failed') return result.isRefused ? 'refused' : 'unreachable'
    result.connection.destroy()
    return 'relayed'
  }

  /** Checks the direct path of a lost server, and the others if nobody reached it. */
  async #recheck(server: BackendServer): Promise<void> {
    const lost = this.opts.paths.get(server.id)
    if (!lost || this.#checks.has(server.id)) return
    if (!this.opts.mayConnect(server)) {
      // Otherwise it would stay the first of those that are due.
      this.opts.paths.recordChecked(server)
      return
    }
    if (lost.state === 'unreachable') {
      await this.check(server)
      return
    }
    if (await this.#isDirect(server, lost.failure)) this.opts.paths.recordDirect(server)
    else this.opts.paths.recordChecked(server)
  }

  async #isDirect(server: BackendServer, failure: PathFailure): Promise<boolean> {
    if (failure === 'mute') return this.#bringsResponse(connectDirectly(server), server)
    const result = await withinCheckTimeout(connectSteadily(server))
    if (result.type === 'connected') result.connection.destroy()
    return result.type === 'connected'
  }

  /**
   * Whether a server responds through a relay but not directly. If so, records that its
   * path is lost. Concurrent checks of one server are one: each costs several connections.
   */
  #isMute(server: BackendServer): Promise<boolean> {
    return runOnce(this.#muteChecks, server.id, () =>
      callOwned('path check', server.id, () => this.#checkMute(server)).catch(
        (err: unknown) => {
          this.opts.onCheckFailed(err, server)
          return false
        },
      ),
    )
  }

  async #checkMute(server: BackendServer): Promise<boolean> {
    const isDirect = this.#bringsResponse(connectDirectly(server), server)
    const name = await this.#findResponsiveRelay(server)
    if (name === undefined) return false
    const isLate = sleep(LATER_RESPONSE_MS).then(() => false)
    if (await Promise.race([isDirect, isLate])) return false
    this.#recordLost(server, { state: 'relayed', failure: 'mute', relay: name })
    return true
  }

  /** Name of the first relay through which a server responds; `undefined` if none does. */
  async #findResponsiveRelay(server: BackendServer): Promise<string | undefined> {
    const { peers, zone, random } = this.opts
    return findResponsiveRelay({
      candidates: peers.relays(server.service),
      zone,
      random,
      bringsResponse: ({ address }) =>
        this.#bringsResponse(connectThrough(address, server), server),
    })
  }

  /** Whether a server answers a health check on a connection. */
  async #bringsResponse(
    pending: PendingConnection<ConnectionOutcome>,
    { service }: BackendServer,
  ): Promise<boolean> {
    const result = await withinCheckTimeout(pending)
    if (result.type === 'failed') return false
    const path = this.opts.healthPathOf(service)
    return bringsResponse(result.connection, path, RESPONSE_TIMEOUT_MS)
  }

  #sample(servers: readonly BackendServer[], count: number): BackendServer[] {
    return servers
      .map((server) => ({ server, key: this.opts.random() }))
      .toSorted((a, b) => a.key - b.key)
      .slice(0, count)
      .map(({ server }) => server)
  }
}

/** Result of a connection, on whatever path. */
type ConnectionOutcome =
  | { readonly type: 'connected'; readonly connection: Socket }
  | { readonly type: 'failed' }

/** Result of a connection, which is given up after `CHECK_TIMEOUT_MS`. */
async function withinCheckTimeout<R>(pending: PendingConnection<R>): Promise<R> {
  const cancelTimer = after(CHECK_TIMEOUT_MS, () => {
    pending.cancel()
  })
  const result = await pending.result
  cancelTimer()
  return result
}

/**
 * Calls an action after a time. Events that a busy process has not handled yet come first, so
 * that its own delay is not taken for a slow connection.
 */
function after(ms: number, action: () => void): CancelTimer {
  let isCancelled = false
  const timer = setTimeout(() => {
    setImmediate(() => {
      if (!isCancelled) action()
    })
  }, ms)
  return () => {
    isCancelled = true
    clearTimeout(timer)
  }
}

/** Result of the check of a server that is running, or of one that is started now. */
function runOnce<T>(
  running: Map<string, Promise<T>>,
  serverId: string,
  check: () => Promise<T>,
): Promise<T> {
  const current = running.get(serverId)
  if (current) return current
  const started = check().finally(() => {
    running.delete(serverId)
  })
  running.set(serverId, started)
  return started
}
