/**
 * The protocol between entry instances: which members are alive, which configuration is
 * in force and how fresh it is, and which instances are listed.
 *
 * Performs no I/O. The caller sends the messages that this class returns and passes the
 * responses back. Only responses prove ages: a request may have been in transit for any
 * time, a response at most for the time since its request was sent.
 */
import type { Clock } from '../clock.js'
import { ExchangePlan, type ExchangeTarget } from '../member/exchangePlan.js'
import type { MemberIdentity } from '../member/member.js'
import { MemberTable } from '../member/memberTable.js'
import type { StoredObject } from '../platform/objectStore.js'
import type { Random } from '../random.js'
import { effectiveConfigSchema } from '../config/effective.js'
import { ConfigHolder } from './configHolder.js'
import { fromItems } from './configItems.js'
import {
  toAgeMs,
  type DeltaResponse,
  type ExchangeRequest,
  type ExchangeResponse,
} from './exchange.js'
import type { InstanceHolder } from './instanceHolder.js'
import { applyDelta } from './itemHistory.js'
import { LatestValues } from './latestValues.js'
import { PollSchedule, DIRECT_POLL_AGE_MS } from './pollSchedule.js'
import { OutageTally } from './outageTally.js'

/** Ticks between two requests to a watcher. */
const WATCHER_TICKS = 4

/**
 * Ticks between two requests to a watcher while the proof of freshness is getting old.
 */
const AGING_WATCHER_TICKS = 1

/**
 * Time by which a peer's poll of the list must be more recent than this node's to fetch
 * the peer's list, in milliseconds.
 */
const MIN_LIST_AGE_GAIN_MS = 500

export interface ExchangeNodeOptions<T> {
  readonly self: MemberIdentity
  /** Monotonic clock. */
  readonly clock: Clock
  readonly random: Random
  /**
   * Age of the newest proof of freshness beyond which the configuration is stale, in
   * milliseconds.
   */
  readonly freshMs: number
  readonly instances: InstanceHolder<T>
  /** Returns the entry instances in a list of instances, this one included. */
  readonly entryInstancesOf: (
    instances: readonly T[],
  ) => { node: string; address: string }[]
  /**
   * Addresses of other entry instances to contact until the list of instances is known,
   * as when the platform is unavailable at startup.
   * @default []
   */
  readonly seeds?: readonly string[]
}

/** Messages to send now. */
export interface DueMessages {
  readonly exchanges: readonly ExchangeTarget[]
  /** Address to fetch the configuration from. */
  readonly fetchConfig: string | undefined
  /** Address to fetch the list of instances from. */
  readonly fetchInstances: string | undefined
}

/**
 * One entry instance's side of the protocol; call {@link ExchangeNode.tick} twice a second.
 *
 * @example
 * const node = ExchangeNode.create(opts)
 * for (const target of node.tick().exchanges) send(target, node.request(target))
 */
export class ExchangeNode<T> {
  readonly members: MemberTable
  readonly config: ConfigHolder
  readonly instances: InstanceHolder<T>
  readonly values: LatestValues
  readonly #plan: ExchangePlan
  readonly #tally: OutageTally
  readonly #configPolls: PollSchedule
  readonly #listPolls: PollSchedule
  #ticks: number
  #fetchConfig: string | undefined
  #fetchInstances: string | undefined

  private constructor(private readonly opts: ExchangeNodeOptions<T>) {
    const { self, clock, random, freshMs } = opts
    this.members = MemberTable.create({ self, clock })
    this.#plan = ExchangePlan.create({ members: this.members, random })
    this.#plan.setListed(
      (opts.seeds ?? []).map((address) => ({ node: undefined, address })),
    )
    this.#tally = OutageTally.create({ self: self.node, clock, maxAgeMs: freshMs })
    const isOutage = (): boolean => this.#tally.isOutage
    this.config = ConfigHolder.create({ clock, freshMs, isOutage })
    this.instances = opts.instances
    this.values = LatestValues.create({ clock })
    this.#configPolls = PollSchedule.create({ clock, random })
    this.#listPolls = PollSchedule.create({ clock, random })
    this.#ticks = Math.floor(random() * WATCHER_TICKS)
  }

  static create<T>(opts: ExchangeNodeOptions<T>): ExchangeNode<T> {
    return new ExchangeNode(opts)
  }

  /** Whether this node watches the platform on behalf of its zone. */
  get isWatcher(): boolean {
    return this.#plan.isWatcher
  }

  /** Whether to read the configuration from the platform now. */
  get isConfigPollDue(): boolean {
    return this.#configPolls.isDue(this.isWatcher, this.config.ageMs)
  }

  /** Whether to read the list of instances from the platform now. */
  get isListPollDue(): boolean {
    return this.#listPolls.isDue(this.#plan.isListWatcher, this.instances.ageMs)
  }

  /** Advances by one tick; returns the messages to send. */
  tick(): DueMessages {
    this.members.tick()
    this.#ticks += 1
    this.#claimOutage()
    const exchanges = new Map<string, ExchangeTarget>()
    for (const target of this.#targets()) exchanges.set(target.address, target)
    return { exchanges: [...exchanges.values()], ...this.takeDueFetches() }
  }

  /**
   * Returns the fetches that messages since the last call made necessary, and clears
   * them.
   */
  takeDueFetches(): Omit<DueMessages, 'exchanges'> {
    const fetches = {
      fetchConfig: this.#fetchConfig,
      fetchInstances: this.#fetchInstances,
    }
    this.#fetchConfig = undefined
    this.#fetchInstances = undefined
    return fetches
  }

  /** Creates the request to send to a peer. */
  request(target: ExchangeTarget): ExchangeRequest {
    const { leaving } = this.members.self
    return {
      ...this.members.createExchange([], target.node),
      from: this.opts.self,
      leaving,
      configRevision: this.config.revision,
      values: this.values.next(),
    }
  }

  /** Handles a peer's request and creates the response. */
  handleRequest(req: ExchangeRequest): ExchangeResponse {
    this.members.recordContact({ ...req.from, leaving: req.leaving })
    const lacking = this.members.receive(req)
    this.values.receive(req.values)
    this.#compareRevision(req.configRevision, req.from.address)
    const { listKey, ages } = this.#tally.claims()
    return {
      ...this.members.createExchange(lacking, req.from.node),
      configRevision: this.config.revision,
      knownRevision: this.config.knownRevision,
      configAgeMs: toAgeMs(this.config.ageMs),
      listHash: this.instances.hash,
      listAgeMs: toAgeMs(this.instances.ageMs),
      claimListKey: listKey,
      claimAges: ages,
      values: this.values.next(),
    }
  }

  /** Handles a response that arrived `transitMs` after its request was sent. */
  handleResponse(target: ExchangeTarget, res: ExchangeResponse, transitMs: number): void {
    if (target.node !== undefined) this.members.recordProbeSuccess(target.node)
    this.members.enqueue(this.members.receive(res))
    this.values.receive(res.values)
    this.#compareRevision(res.configRevision, target.address)
    this.config.recordKnownRevision(res.knownRevision)
    this.config.confirm(res.configRevision, res.configAgeMs + transitMs)
    this.#compareList(res, target.address, transitMs)
    const claims = { listKey: res.claimListKey, ages: res.claimAges }
    this.#tally.receive(claims, transitMs)
    if (res.configAgeMs > DIRECT_POLL_AGE_MS) this.#plan.skipWatcher()
  }

  /** Records that a peer didn't respond. */
  recordNoResponse(target: ExchangeTarget): void {
    if (target.node !== undefined) this.members.recordProbeFailure(target.node)
    if (target.address === this.#plan.nextWatcher()?.address) this.#plan.skipWatcher()
  }

  /** Creates the configuration changes since a peer's revision. */
  configDelta(afterRevision: number): DeltaResponse {
    const { revision, ageMs } = this.config
    const delta = this.config.deltaFrom(afterRevision)
    return { revision, ageMs: toAgeMs(ageMs), delta }
  }

  /**
   * Applies configuration changes received from a peer; returns whether a new revision
   * came into force.
   */
  receiveConfig({ revision, ageMs, delta }: DeltaResponse, transitMs: number): boolean {
    if (revision < this.config.revision) return false
    const items = applyDelta(this.config.items, delta)
    const isNew = items !== undefined && this.config.apply(revision, fromItems(items))
    this.config.confirm(revision, ageMs + transitMs)
    return isNew
  }

  /** Creates the changes since the list of instances whose hash a peer sent. */
  instanceDelta(hash: number): DeltaResponse {
    const { ageMs } = this.instances
    return { revision: 0, ageMs: toAgeMs(ageMs), delta: this.instances.deltaFrom(hash) }
  }

  /** Applies list changes received from a peer; returns whether the list changed. */
  receiveInstances({ ageMs, delta }: DeltaResponse, transitMs: number): boolean {
    const changed = this.instances.receive(delta, ageMs + transitMs)
    if (changed) this.#applyList()
    return changed
  }

  /**
   * Applies the result of a read of the platform's configuration.
   *
   * @param found Configuration newer than `polledAfterRevision`; `undefined` if there is
   *   none.
   * @param ageMs Time since the read was started, in milliseconds.
   * @returns Whether a new revision came into force.
   */
  applyConfigPoll(
    found: Pick<StoredObject, 'revision' | 'value'> | undefined,
    ageMs: number,
    polledAfterRevision: number,
  ): boolean {
    this.#configPolls.recordSuccess()
    const isNew =
      found !== undefined &&
      found.revision > this.config.revision &&
      this.config.apply(found.revision, effectiveConfigSchema.parse(found.value))
    // Ignored if a newer revision came from a peer in the meantime.
    this.config.confirm(found?.revision ?? polledAfterRevision, ageMs)
    return isNew
  }

  recordConfigPollFailure(): void {
    this.#configPolls.recordFailure()
  }

  /**
   * Applies a read of the platform's list started `ageMs` ago; returns whether the list
   * changed.
   */
  applyListPoll(instances: readonly T[], ageMs: number): boolean {
    this.#listPolls.recordSuccess()
    const changed = this.instances.applyPoll(instances, ageMs)
    if (changed) this.#applyList()
    return changed
  }

  recordListPollFailure(): void {
    this.#listPolls.recordFailure()
  }

  #targets(): ExchangeTarget[] {
    const retries = this.members.retrying()
    const isProbeTick = this.#ticks % 2 === 0 || this.#isAging()
    const probe = isProbeTick ? this.#plan.nextProbe() : undefined
    const watcherTicks = this.#isAging() ? AGING_WATCHER_TICKS : WATCHER_TICKS
    const watcher =
      this.#ticks % watcherTicks === 0 ? this.#plan.nextWatcher() : undefined
    return [...retries, probe, watcher].filter((target) => target !== undefined)
  }

  /** Whether the proof of freshness is so old that peers are asked more often. */
  #isAging(): boolean {
    return this.config.ageMs > DIRECT_POLL_AGE_MS
  }

  #claimOutage(): void {
    const { config } = this
    const isCurrent = config.revision > 0 && config.revision >= config.knownRevision
    if (!isCurrent || !config.isConfirmedSinceStart) return
    if (this.#configPolls.hasFailedRecently) this.#tally.claim()
  }

  #compareRevision(revision: number, address: string): void {
    this.config.recordKnownRevision(revision)
    if (revision > this.config.revision) this.#fetchConfig = address
  }

  #compareList(res: ExchangeResponse, address: string, transitMs: number): void {
    const ageMs = res.listAgeMs + transitMs
    if (res.listHash === this.instances.hash) this.instances.confirm(res.listHash, ageMs)
    else if (res.listHash !== 0 && ageMs + MIN_LIST_AGE_GAIN_MS < this.instances.ageMs) {
      this.#fetchInstances = address
    }
  }

  #applyList(): void {
    const entries = this.opts.entryInstancesOf(this.instances.instances)
    const names = entries.map(({ node }) => node)
    this.#tally.setListed(names)
    this.members.dropUnlisted(new Set(names))
    this.#plan.setListed(entries.filter(({ node }) => node !== this.opts.self.node))
  }
}
