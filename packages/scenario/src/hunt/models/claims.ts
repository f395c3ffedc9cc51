/**
 * Claims: a non-idempotent request runs at most once while its key is remembered,
 * what is told of another's run is true, and claims succeed once faults have ended.
 */
import assert from 'node:assert/strict'
import { ClaimRouter, ClaimTable, Grant } from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualNetwork } from '../virtualNetwork.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../world.js'

/** Short, so that keys expire within a schedule. */
const RETENTION_MS = 16_000
const GRANT_MS = 4_000

/** Largest difference of a node's wall clock from the true time. */
const MAX_SKEW_MS = 2_000

/** Longest time between a grant and the moment at which the request is sent. */
const MAX_HESITATION_MS = 6_000
const MAX_RUN_MS = 2_000
const SETTLE_MS = 10_000
const RANGES = 2

interface Run {
  readonly atMs: number
  isFinished: boolean
}

interface Member {
  readonly node: string
  readonly place: VirtualNode
  readonly table: ClaimTable
  readonly router: ClaimRouter<Member>
}

/** Runs the real parts of several nodes under one schedule. */
class ClaimsRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  readonly #runs = new Map<string, Run[]>()
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
    await this.#world.run(SCHEDULE_MS + SETTLE_MS * 3)
    await this.#checkProgress()
    for (const { table } of this.#members) table.close()
  }

  #start(index: number): void {
    this.#started += 1
    const place = new VirtualNode(`n${index}-${this.#started}`, this.#world)
    const { clock, startTimer } = place
    const skewMs = MAX_SKEW_MS * (this.#world.random() * 2 - 1)
    const table = ClaimTable.create({
      store: this.#platform.storeOf(place),
      kind: 'claim',
      ranges: RANGES,
      retentionMs: RETENTION_MS,
      clock,
      wallClock: () => clock() + skewMs,
      random: this.#world.random,
      startTimer,
    })
    const router: ClaimRouter<Member> = ClaimRouter.create<Member>({
      table,
      self: { node: place.id },
      // Each look gives another view of who is alive.
      aliveMembers: () =>
        this.#members.filter(
          ({ place: other }) => other !== place && this.#world.random() < 0.8,
        ),
      send: (owner, request, timeoutMs) =>
        this.#network.call(place, owner.place, () =>
          owner.table.claim(request, timeoutMs),
        ),
      sendNote: (owner, key, holder, note) =>
        this.#network.call(place, owner.place, () => {
          owner.table.note(key, holder, note)
          return Promise.resolve()
        }),
      clock,
      startTimer,
    })
    this.#members[index] = { node: place.id, place, table, router }
  }

  #apply(step: Step): void {
    if (step.type === 'outage') {
      this.#platform.goAway(step.ms)
      return
    }
    const member = this.#members[step.node]
    if (step.type === 'kill') {
      member?.place.kill()
      this.#start(step.node)
    }
    if (step.type === 'freeze') member?.place.freeze(step.ms)
    if (step.type === 'work' && member && !member.place.isFrozen) {
      this.#world.spawn(this.#request(member, `k${step.key}`))
    }
  }

  /** What a router does with a non-idempotent request. */
  async #request({ place, router }: Member, key: string): Promise<void> {
    this.#requests += 1
    const holder = `${place.id}/${this.#requests}`
    const grant = Grant.create({
      claims: router,
      key,
      holder,
      clock: place.clock,
      validityMs: GRANT_MS,
    })
    const verdict = await grant.claim()
    this.opts.tally(verdict.type)
    if (verdict.type === 'held' && verdict.done) this.#checkRan(key)
    if (verdict.type !== 'granted') return
    place.startTimer(this.#world.random() * MAX_HESITATION_MS, () => {
      if (grant.isValid && this.#world.random() < 0.8) this.#send(place, key, grant)
      else grant.settle('not_run')
    })
  }

  #send(place: VirtualNode, key: string, grant: Grant): void {
    const run = { atMs: this.#world.nowMs, isFinished: false }
    const runs = this.#runs.get(key) ?? []
    const last = runs.at(-1)
    this.opts.tally('ran')
    if (last) {
      const apartMs = run.atMs - last.atMs
      this.opts.tally('ran again after retention')
      assert.ok(
        apartMs >= RETENTION_MS - GRANT_MS - 2 * MAX_SKEW_MS,
        `${key} ran twice within ${apartMs} ms`,
      )
    }
    this.#runs.set(key, [...runs, run])
    place.startTimer(this.#world.random() * MAX_RUN_MS, () => {
      run.isFinished = true
      grant.settle('ran')
    })
  }

  #checkRan(key: string): void {
    this.opts.tally('told that it ran')
    const hasRun = this.#runs.get(key)?.some(({ isFinished }) => isFinished) ?? false
    assert.ok(hasRun, `${key} was said to have run but did not`)
  }

  /** Once faults have ended, a fresh key is granted at every node. */
  async #checkProgress(): Promise<void> {
    for (const { place, router } of this.#members) {
      const request = { key: `fresh-${place.id}`, holder: place.id, value: '' }
      let verdict = 'none'
      void router.claim(request).then(({ type }) => {
        verdict = type
      })
      await this.#world.run(this.#world.nowMs + SETTLE_MS)
      assert.equal(verdict, 'granted', `${place.id} can't claim after all faults ended`)
    }
  }
}

export const claimsModel: Model = (opts) => new ClaimsRun(opts).run()
