/**
 * Ledger: a record never stands twice in the platform, and every released answer is
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
import { VirtualNode, VirtualWorld } from '../world.js'

const ZONES = 3
const TICK_MS = 1_000
const RECOVER_AFTER_MS = 5_000
const SETTLE_MS = 60_000

interface Member extends MemberIdentity {
  readonly place: VirtualNode
  readonly ledger: Ledger
  readonly keeper: CopyStore
  readonly sender: CopySender<Member>
}

interface Answered {
  readonly requestId: string
  readonly owner: VirtualNode
  /** Nodes that have confirmed a copy by the release. */
  readonly holders: readonly VirtualNode[]
}

class LedgerRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  readonly #answered: Answered[] = []
  /** Nodes that have confirmed a copy, by request. */
  readonly #holders = new Map<string, VirtualNode[]>()
  #started = 0
  #requests = 0

  constructor(private readonly opts: ModelOptions) {
    const { schedule, sabotage } = opts
    this.#world = VirtualWorld.create(schedule.seed)
    this.#platform = VirtualPlatform.create(this.#world, schedule.rates, sabotage)
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
    this.#platform.heal()
    this.#network.lossRate = 0
    await this.#world.run(SCHEDULE_MS + SETTLE_MS)
    await this.#check()
  }

  #start(index: number): void {
    this.#started += 1
    const incarnation = `n${index}-${this.#started}`
    const place = new VirtualNode(incarnation, this.#world)
    const store = this.#platform.storeOf(place)
    const { clock, startTimer } = place
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
          ({ place: other }) => other !== place && this.#world.random() < 0.9,
        ),
      send: async (member, batch) => {
        const accepted = await this.#network.call(place, member.place, () =>
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
    const member = { ...self, place, ledger, keeper, sender }
    this.#members[index] = member
    this.#tickForEver(member, () => ledger.flush())
    this.#tickForEver(member, () => sender.refresh())
    this.#tickForEver(member, async () => {
      const count = await keeper.recover()
      if (count > 0) this.opts.tally('recovered')
    })
  }

  #confirm(requestId: string, holder: VirtualNode): void {
    this.#holders.set(requestId, [...(this.#holders.get(requestId) ?? []), holder])
  }

  #tickForEver({ place }: Member, step: () => Promise<unknown>): void {
    place.startTimer(TICK_MS * (0.5 + this.#world.random()), () => {
      const next = step().then(() => {
        this.#tickForEver({ place } as Member, step)
      })
      this.#world.spawn(next)
    })
  }

  #apply(step: Step): void {
    if (step.type === 'outage') {
      this.#platform.goAway(step.ms)
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
      this.#world.spawn(this.#answer(member))
      // Two flushes at once, as at the end of a leaving node.
      if (step.key === 0) this.#world.spawn(member.ledger.flush())
    }
  }

  /** What a router does at the end of an answer. */
  async #answer({ place, incarnation, ledger, sender }: Member): Promise<void> {
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
    const holders = this.#holders.get(requestId) ?? []
    assert.ok(!copied || holders.length > 0, 'a copy was reported that nobody confirmed')
    this.#answered.push({ requestId, owner: place, holders })
  }

  async #check(): Promise<void> {
    const listed = await this.#platform.memory.list('billing', '')
    if (listed.err) throw new Error('the store is away')
    this.#checkSlots(listed.val.objects.map(({ name }) => name))
    const ids = listed.val.objects.flatMap(({ value }) =>
      billingSlotSchema.parse(value).records.map(({ requestId }) => requestId),
    )
    const billed = new Set(ids)
    assert.equal(ids.length, billed.size, 'a record stands twice')
    for (const { requestId, owner, holders } of this.#answered) {
      if (billed.has(requestId)) continue
      this.opts.tally('lost with all its holders')
      const survived = [owner, ...holders].some(({ isKilled }) => !isKilled)
      assert.ok(!survived, `${requestId} was released but never billed`)
    }
  }

  /** A log without holes: whoever finds a free slot has seen the whole log. */
  #checkSlots(names: readonly string[]): void {
    const known = new Set(names)
    for (const name of names) {
      const [incarnation = '', slot = ''] = name.split('/')
      const before = slotName(incarnation, Number(slot) - 1)
      assert.ok(Number(slot) === 0 || known.has(before), `${before} was left out`)
    }
  }
}

export const ledgerModel: Model = (opts) => new LedgerRun(opts).run()
