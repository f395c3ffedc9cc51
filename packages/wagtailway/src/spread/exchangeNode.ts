/**
 * What one entry instance does towards the others: who is alive, which
 * configuration is in force and how fresh it is, which instances are listed.
 *
 * Opens no socket. Whoever drives it sends the messages that it asks for and
 * hands in what comes back. Only answers prove ages: a request may have been
 * under way for any time, an answer at most since its request was sent.
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
import { LookSchedule, OWN_LOOK_AGE_MS } from './pollSchedule.js'
import { OutageTally } from './outageTally.js'

/** Ticks between two questions to a watcher. */
const WATCHER_TICKS = 4

/** Ticks between two questions to a watcher while the proof is getting old. */
const HURRIED_WATCHER_TICKS = 1

/** Time by which a peer's look must be younger to fetch its list, in milliseconds. */
const LIST_YOUNGER_MS = 500

export interface ExchangeNodeOptions<T> {
  readonly self: MemberIdentity
  /** Monotonic clock. */
  readonly clock: Clock
  readonly random: Random
  /** Age of the newest proof beyond which the configuration is stale, in milliseconds. */
  readonly freshMs: number
  readonly instances: InstanceHolder<T>
  /** The entry instances of a list, this one included. */
  readonly entryInstancesOf: (
    instances: readonly T[],
  ) => { node: string; address: string }[]
  /**
   * Addresses of other instances to start from while the platform is away.
   * @default []
   */
  readonly seeds?: readonly string[]
}

/** What to send now. */
export interface DueMessages {
  readonly exchanges: readonly ExchangeTarget[]
  /** Address to fetch the configuration from. */
  readonly fetchConfig: string | undefined
  /** Address to fetch the list of instances from. */
  readonly fetchInstances: string | undefined
}

/**
 * The exchanging part of one entry instance; tick it twice a second.
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
  readonly #configLooks: LookSchedule
  readonly #listLooks: LookSchedule
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
    this.#tally = OutageTally.create({ self: self.node, clock, boundMs: freshMs })
    const isOutage = (): boolean => this.#tally.isOutage
    this.config = ConfigHolder.create({ clock, freshMs, isOutage })
    this.instances = opts.instances
    this.values = LatestValues.create({ clock })
    this.#configLooks = LookSchedule.create({ clock, random })
    this.#listLooks = LookSchedule.create({ clock, random })
    this.#ticks = Math.floor(random() * WATCHER_TICKS)
  }

  static create<T>(opts: ExchangeNodeOptions<T>): ExchangeNode<T> {
    return new ExchangeNode(opts)
  }

  /** Whether this node watches the platform for its zone. */
  get isWatcher(): boolean {
    return this.#plan.isWatcher
  }

  /** Whether to ask the platform for the configuration now. */
  get isConfigPollDue(): boolean {
    return this.#configLooks.isDue(this.isWatcher, this.config.ageMs)
  }

  /** Whether to ask the platform for the list of instances now. */
  get isListPollDue(): boolean {
    return this.#listLooks.isDue(this.#plan.isListWatcher, this.instances.ageMs)
  }

  /** Moves on by one tick; returns what to send. */
  tick(): DueMessages {
    this.members.tick()
    this.#ticks += 1
    this.#claimOutage()
    const exchanges = new Map<string, ExchangeTarget>()
    for (const target of this.#targets()) exchanges.set(target.address, target)
    return { exchanges: [...exchanges.values()], ...this.takeDueFetches() }
  }

  /** What to fetch because of the messages since the last call. */
  takeDueFetches(): Omit<DueMessages, 'exchanges'> {
    const fetches = {
      fetchConfig: this.#fetchConfig,
      fetchInstances: this.#fetchInstances,
    }
    this.#fetchConfig = undefined
    this.#fetchInstances = undefined
    return fetches
  }

  /** The request to send to a peer. */
  request(target: ExchangeTarget): ExchangeRequest {
    const { leaving } = this.members.self
    return {
      ...this.members.exchange([], target.node),
      from: this.opts.self,
      leaving,
      configRevision: this.config.revision,
      values: this.values.next(),
    }
  }

  /** Answers a peer's request. */
  handleRequest(req: ExchangeRequest): ExchangeResponse {
    this.members.heard({ ...req.from, leaving: req.leaving })
    const lacking = this.members.receive(req)
    this.values.receive(req.values)
    this.#compareRevision(req.configRevision, req.from.address)
    const { listKey, ages } = this.#tally.claims()
    return {
      ...this.members.exchange(lacking, req.from.node),
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

  /** Takes in an answer that came `transitMs` after its request was sent. */
  answered(target: ExchangeTarget, res: ExchangeResponse, transitMs: number): void {
    if (target.node !== undefined) this.members.answered(target.node)
    this.members.tell(this.members.receive(res))
    this.values.receive(res.values)
    this.#compareRevision(res.configRevision, target.address)
    this.config.heardOf(res.knownRevision)
    this.config.confirm(res.configRevision, res.configAgeMs + transitMs)
    this.#compareList(res, target.address, transitMs)
    const claims = { listKey: res.claimListKey, ages: res.claimAges }
    this.#tally.receive(claims, transitMs)
    if (res.configAgeMs > OWN_LOOK_AGE_MS) this.#plan.skipWatcher()
  }

  /** Notes that a peer did not answer. */
  unanswered(target: ExchangeTarget): void {
    if (target.node !== undefined) this.members.unanswered(target.node)
    if (target.address === this.#plan.nextWatcher()?.address) this.#plan.skipWatcher()
  }

  /** The configuration's changes since a peer's revision. */
  configDelta(afterRevision: number): DeltaResponse {
    const { revision, ageMs } = this.config
    const delta = this.config.deltaFrom(afterRevision)
    return { revision, ageMs: toAgeMs(ageMs), delta }
  }

  /** Takes in a peer's changes; returns whether they came into force. */
  receiveConfig({ revision, ageMs, delta }: DeltaResponse, transitMs: number): boolean {
    if (revision < this.config.revision) return false
    const items = applyDelta(this.config.items, delta)
    const isNew = items !== undefined && this.config.offer(revision, fromItems(items))
    this.config.confirm(revision, ageMs + transitMs)
    return isNew
  }

  /** The list's changes since the list with a peer's hash. */
  instanceDelta(hash: number): DeltaResponse {
    const { ageMs } = this.instances
    return { revision: 0, ageMs: toAgeMs(ageMs), delta: this.instances.deltaFrom(hash) }
  }

  /** Takes in a peer's changes of the list; returns whether it changed. */
  receiveInstances({ ageMs, delta }: DeltaResponse, transitMs: number): boolean {
    const changed = this.instances.receive(delta, ageMs + transitMs)
    if (changed) this.#takeOverList()
    return changed
  }

  /**
   * Takes in a look at the platform's configuration that was begun `ageMs` ago and
   * asked for anything newer than `askedRevision`; returns whether a new one came into force.
   */
  applyConfigPoll(
    found: Pick<StoredObject, 'revision' | 'value'> | undefined,
    ageMs: number,
    askedRevision: number,
  ): boolean {
    this.#configLooks.succeeded()
    const isNew =
      found !== undefined &&
      found.revision > this.config.revision &&
      this.config.offer(found.revision, effectiveConfigSchema.parse(found.value))
    // Proves nothing if a newer revision came from a peer in the meantime.
    this.config.confirm(found?.revision ?? askedRevision, ageMs)
    return isNew
  }

  recordConfigPollFailure(): void {
    this.#configLooks.failed()
  }

  /** Takes in a look at the platform's list, begun `ageMs` ago; returns whether it changed. */
  applyListPoll(instances: readonly T[], ageMs: number): boolean {
    this.#listLooks.succeeded()
    const changed = this.instances.saw(instances, ageMs)
    if (changed) this.#takeOverList()
    return changed
  }

  recordListPollFailure(): void {
    this.#listLooks.failed()
  }

  #targets(): ExchangeTarget[] {
    const retries = this.members.retrying()
    const isProbeTick = this.#ticks % 2 === 0 || this.#isAging()
    const probe = isProbeTick ? this.#plan.nextProbe() : undefined
    const every = this.#isAging() ? HURRIED_WATCHER_TICKS : WATCHER_TICKS
    const watcher = this.#ticks % every === 0 ? this.#plan.nextWatcher() : undefined
    return [...retries, probe, watcher].filter((target) => target !== undefined)
  }

  /** Whether the proof is old enough to look for a younger one more often. */
  #isAging(): boolean {
    return this.config.ageMs > OWN_LOOK_AGE_MS
  }

  #claimOutage(): void {
    const { config } = this
    const isCurrent = config.revision > 0 && config.revision >= config.knownRevision
    if (!isCurrent || !config.hasOwnProof) return
    if (this.#configLooks.hasJustFailed) this.#tally.claim()
  }

  #compareRevision(revision: number, address: string): void {
    this.config.heardOf(revision)
    if (revision > this.config.revision) this.#fetchConfig = address
  }

  #compareList(res: ExchangeResponse, address: string, transitMs: number): void {
    const ageMs = res.listAgeMs + transitMs
    if (res.listHash === this.instances.hash) this.instances.confirm(res.listHash, ageMs)
    else if (res.listHash !== 0 && ageMs + LIST_YOUNGER_MS < this.instances.ageMs) {
      this.#fetchInstances = address
    }
  }

  #takeOverList(): void {
    const entries = this.opts.entryInstancesOf(this.instances.instances)
    const names = entries.map(({ node }) => node)
    this.#tally.setListed(names)
    this.members.dropUnlisted(new Set(names))
    this.#plan.setListed(entries.filter(({ node }) => node !== this.opts.self.node))
  }
}
