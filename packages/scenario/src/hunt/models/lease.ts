/**
 * Leases: no two contenders hold a lease at the same time although their clocks drift,
 * fencing tokens never decrease, and a fenced object accepts no write of a former holder
 * after one of a later holder.
 */
import assert from 'node:assert/strict'
import { FencedObject, Lease } from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../virtualWorld.js'

const LEASE_MS = 3_000
const POLL_MS = 500

/** Largest clock drift as a fraction; two clocks drift apart by less than the lease's margin. */
const MAX_DRIFT = 0.04

/** Time without faults within which a contender must get the lease, in milliseconds. */
const RECOVERY_MS = 15_000

interface Contender {
  /** The simulated node that this runs on. */
  readonly place: VirtualNode
  readonly lease: Lease
  readonly object: FencedObject
}

class LeaseRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #contenders: Contender[] = []
  readonly #killed: Contender[] = []
  #started = 0
  #highestFence = 0
  #writtenFence = 0

  constructor(private readonly opts: ModelOptions) {
    const { schedule, storeDefect } = opts
    this.#world = VirtualWorld.create(schedule.seed)
    this.#platform = VirtualPlatform.create(this.#world, schedule.rates, storeDefect)
    for (let i = 0; i < NODES; i++) this.#start(i)
  }

  async run(): Promise<void> {
    for (const { atMs, step } of this.opts.schedule.steps) {
      this.#world.after(atMs, () => {
        this.#apply(step)
      })
    }
    const check = (): void => {
      this.#check()
    }
    await this.#world.run(SCHEDULE_MS, check)
    this.#platform.stopFaults()
    await this.#world.run(SCHEDULE_MS + RECOVERY_MS, check)
    const holders = this.#contenders.filter(({ lease }) => lease.fence !== undefined)
    assert.equal(holders.length, 1, 'nobody holds the lease after all faults ended')
  }

  #start(index: number): void {
    this.#started += 1
    const rate = 1 + MAX_DRIFT * (this.#world.random() * 2 - 1)
    const virtualNode = new VirtualNode(`n${index}-${this.#started}`, this.#world, rate)
    const store = this.#platform.storeOf(virtualNode)
    const lease = Lease.create({
      store,
      name: 'rollout',
      holder: virtualNode.id,
      leaseMs: LEASE_MS,
      clock: virtualNode.clock,
    })
    const object = FencedObject.create({ store, kind: 'status', name: 'rollout', lease })
    const contender = { place: virtualNode, lease, object }
    this.#contenders[index] = contender
    this.#world.spawn(this.#pollForever(contender))
  }

  async #pollForever({ place: virtualNode, lease, object }: Contender): Promise<void> {
    for (;;) {
      await new Promise<void>((resolve) => {
        virtualNode.startTimer(POLL_MS * (0.5 + this.#world.random()), resolve)
      })
      const previousFence = lease.fence
      const currentFence = await lease.poll()
      if (currentFence !== undefined && currentFence !== previousFence)
        this.opts.tally('taken over')
      if (currentFence === undefined) continue
      const written = await object.update((value) => Number(value ?? 0) + 1)
      this.opts.tally(written.ok ? 'written' : `write ${written.val.type}`)
    }
  }

  #apply(step: Step): void {
    if (step.type === 'outage') {
      this.#platform.startOutage(step.ms)
      return
    }
    const contender = this.#contenders[step.node]
    if (!contender) return
    if (step.type === 'kill') {
      contender.place.kill()
      this.#killed.push(contender)
      this.#start(step.node)
    }
    if (step.type === 'freeze') contender.place.freeze(step.ms)
    if (step.type === 'work' && !contender.place.isFrozen) {
      this.#world.spawn(contender.lease.release())
    }
  }

  #check(): void {
    // Frozen and killed holders count too: their writes may still be in flight.
    const contenders = [...this.#contenders, ...this.#killed]
    const fences = contenders.flatMap(({ lease }) => lease.fence ?? [])
    assert.ok(fences.length <= 1, `${fences.length} holders at ${this.#world.nowMs} ms`)
    for (const fence of fences) {
      assert.ok(fence >= this.#highestFence, `fence ${fence} after ${this.#highestFence}`)
      this.#highestFence = fence
    }
    this.#world.spawn(this.#checkObject())
  }

  async #checkObject(): Promise<void> {
    const stored = await this.#platform.memory.get('status', 'rollout')
    if (stored.err || !stored.val) return
    const { fence } = stored.val.value as { fence: number }
    assert.ok(fence >= this.#writtenFence, `wrote ${fence} after ${this.#writtenFence}`)
    this.#writtenFence = fence
  }
}

export const leaseModel: Model = (opts) => new LeaseRun(opts).run()
