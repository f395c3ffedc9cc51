/**
 * Ledger: no record is stored twice in the platform, and every released response is
 * billed unless its node and all nodes that confirmed a copy were killed.
 */
import assert from 'node:assert/strict'
import {
  CopyStore,
  CopySender,
  Ledger,
  billingSlotSchema,
  slotName,
  type MemberIdentity,
} from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualNetwork } from '../virtualNetwork.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../virtualWorld.js'

const ZONES = 3
const TICK_MS = 1_000
const RECOVER_AFTER_MS = 5_000

/** Time without faults until all records must be billed, in milliseconds. */
const RECOVERY_MS = 60_000

interface Member extends MemberIdentity {
  /** The simulated node that this runs on. */
  readonly place: VirtualNode
  readonly ledger: Ledger
  readonly keeper: CopyStore
  readonly sender: CopySender<Member>
}

/** A response that was released to its caller. */
interface ReleasedResponse {
  readonly requestId: string
  readonly owner: VirtualNode
  /** Nodes that had confirmed a copy of the record when the response was released. */
  readonly copyHolders: readonly VirtualNode[]
}

class LedgerRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  readonly #released: ReleasedResponse[] = []
  /** Nodes that have confirmed a copy of the record, by request ID. */
  readonly #copyHolders = new Map<string, VirtualNode[]>()
  #started = 0
  #requests = 0

  constructor(private readonly opts: ModelOptions) {
    const { schedule, storeDefect } = opts
    this.#world = VirtualWorld.create(schedule.seed)
    this.#platform = VirtualPlatform.create(this.#world, schedule.rates, storeDefect)
    this.#network = VirtualNetwork.create(this.#world, schedule.networkLoss)
    for (let i = 0; i < NODES; i++) this.#start(i)
  }

  async run(): Promise<void> {
    for (const { atMs, step } of this.opts.schedule.steps) {
      this.#world.after(atMs, () => {
        this.#apply(step)
      })
    }
    await this.#world.run(SCHEDULE_MS)
    this.#platform.stopFaults()
    this.#network.lossRate = 0
    await this.#world.run(SCHEDULE_MS + RECOVERY_MS)
    await this.#check()
  }

  #start(index: number): void {
    this.#started += 1
    const incarnation = `n${index}-${this.#started}`
    const virtualNode = new VirtualNode(incarnation, this.#world)
    const store = this.#platform.storeOf(virtualNode)
    const { clock, startTimer } = virtualNode
    const self = {
      node: `n${index}`,
      incarnation,
      zone: `z${index % ZONES}`,
      region: 'r1',
      address: incarnation,
    }
    const ledger = Ledger.create({ store, incarnation })
    const keeper = CopyStore.create({
      store,
      self: incarnation,
      clock,
      recoverAfterMs: RECOVER_AFTER_MS,
    })
    const sender: CopySender<Member> = CopySender.create<Member>({
      self,
      ledger,
      alive: () =>
        this.#members.filter(
          ({ place: other }) => other !== virtualNode && this.#world.random() < 0.9,
        ),
      send: async (member, batch) => {
        const accepted = await this.#network.call(virtualNode, member.place, () =>
          Promise.resolve(member.keeper.receive(batch)),
        )
        if (accepted) {
          for (const { record } of batch.entries) {
            this.#confirm(record.requestId, member.place)
          }
        }
        return accepted
      },
      clock,
      startTimer,
    })
    const member = { ...self, place: virtualNode, ledger, keeper, sender }
    this.#members[index] = member
    this.#scheduleTicks(member, () => ledger.flush())
    this.#scheduleTicks(member, () => sender.refresh())
    this.#scheduleTicks(member, async () => {
      const count = await keeper.recover()
      if (count > 0) this.opts.tally('recovered')
    })
  }

  #confirm(requestId: string, holder: VirtualNode): void {
    this.#copyHolders.set(requestId, [
      ...(this.#copyHolders.get(requestId) ?? []),
      holder,
    ])
  }

  #scheduleTicks({ place: virtualNode }: Member, task: () => Promise<unknown>): void {
    virtualNode.startTimer(TICK_MS * (0.5 + this.#world.random()), () => {
      const next = task().then(() => {
        this.#scheduleTicks({ place: virtualNode } as Member, task)
      })
      this.#world.spawn(next)
    })
  }

  #apply(step: Step): void {
    if (step.type === 'outage') {
      this.#platform.startOutage(step.ms)
      return
    }
    const member = this.#members[step.node]
    if (!member) return
    if (step.type === 'kill') {
      member.place.kill()
      this.#start(step.node)
    }
    if (step.type === 'freeze') member.place.freeze(step.ms)
    if (step.type === 'work' && !member.place.isFrozen) {
      this.#world.spawn(this.#finishResponse(member))
      // Adds a concurrent flush, as a node does when it shuts down.
      if (step.key === 0) this.#world.spawn(member.ledger.flush())
    }
  }

  /** Bills a completed response as a router does: ledger entry, copies, then release. */
  async #finishResponse({
    place: virtualNode,
    incarnation,
    ledger,
    sender,
  }: Member): Promise<void> {
    this.#requests += 1
    const requestId = `${incarnation}/${this.#requests}`
    const entry = ledger.add({
      requestId,
      workspace: 'panel',
      classKey: 'panel/dossier',
      calls: [],
      costMicros: 1,
      atMs: 0,
    })
    const copied = await sender.copy(entry)
    this.opts.tally(copied ? 'copied' : 'not copied')
    const copyHolders = this.#copyHolders.get(requestId) ?? []
    assert.ok(
      !copied || copyHolders.length > 0,
      'a copy was reported that nobody confirmed',
    )
    this.#released.push({ requestId, owner: virtualNode, copyHolders })
  }

  async #check(): Promise<void> {
    const listed = await this.#platform.memory.list('billing', '')
    if (listed.err) throw new Error('the store is away')
    this.#checkSlots(listed.val.objects.map(({ name }) => name))
    const ids = listed.val.objects.flatMap(({ value }) =>
      billingSlotSchema.parse(value).records.map(({ requestId }) => requestId),
    )
    const billedIds = new Set(ids)
    assert.equal(ids.length, billedIds.size, 'a record stands twice')
    for (const { requestId, owner, copyHolders } of this.#released) {
      if (billedIds.has(requestId)) continue
      this.opts.tally('lost with all its holders')
      const survived = [owner, ...copyHolders].some(({ isKilled }) => !isKilled)
      assert.ok(!survived, `${requestId} was released but never billed`)
    }
  }

  /**
   * Checks that no log has a gap, so that a reader that reaches a free slot has read the
   * whole log.
   */
  #checkSlots(names: readonly string[]): void {
    const storedNames = new Set(names)
    for (const name of names) {
      const [incarnation = '', slot = ''] = name.split('/')
      const previous = slotName(incarnation, Number(slot) - 1)
      assert.ok(
        Number(slot) === 0 || storedNames.has(previous),
        `${previous} was left out`,
      )
    }
  }
}

export const ledgerModel: Model = (opts) => new LedgerRun(opts).run()
