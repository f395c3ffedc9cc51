/**
 * Claims: a non-idempotent request runs at most once while its key is retained, a key
 * is reported as run only if its request has run, and claims succeed once faults end.
 */
import assert from 'node:assert/strict'
import { ClaimRouter, ClaimTable, Grant } from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualNetwork } from '../virtualNetwork.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../virtualWorld.js'

/** Shorter than a schedule, so that keys expire within one. */
const RETENTION_MS = 16_000
const GRANT_MS = 4_000

/** Largest offset of a node's wall clock from virtual time, in milliseconds. */
const MAX_SKEW_MS = 2_000

/** Longest time between a grant and sending the request, in milliseconds. */
const MAX_SEND_DELAY_MS = 6_000
const MAX_RUN_MS = 2_000

/**
 * Time for one claim of the final check, in milliseconds; the check begins three times
 * as long after the faults have ended.
 */
const RECOVERY_MS = 10_000
const RANGES = 2

/** An execution of a non-idempotent request. */
interface Run {
  readonly atMs: number
  isFinished: boolean
}

interface Member {
  readonly node: string
  /** The simulated node that this runs on. */
  readonly place: VirtualNode
  readonly table: ClaimTable
  readonly router: ClaimRouter<Member>
}

/** Runs the real claim tables and routers of several nodes under one schedule. */
class ClaimsRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  readonly #runs = new Map<string, Run[]>()
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
    await this.#world.run(SCHEDULE_MS + RECOVERY_MS * 3)
    await this.#checkProgress()
    for (const { table } of this.#members) table.close()
  }

  #start(index: number): void {
    this.#started += 1
    const virtualNode = new VirtualNode(`n${index}-${this.#started}`, this.#world)
    const { clock, startTimer } = virtualNode
    const skewMs = MAX_SKEW_MS * (this.#world.random() * 2 - 1)
    const table = ClaimTable.create({
      store: this.#platform.storeOf(virtualNode),
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
      self: { node: virtualNode.id },
      // Membership views differ: each read leaves out some members at random.
      aliveMembers: () =>
        this.#members.filter(
          ({ place: other }) => other !== virtualNode && this.#world.random() < 0.8,
        ),
      send: (owner, request, timeoutMs) =>
        this.#network.call(virtualNode, owner.place, () =>
          owner.table.claim(request, timeoutMs),
        ),
      sendNote: (owner, key, holder, note) =>
        this.#network.call(virtualNode, owner.place, () => {
          owner.table.note(key, holder, note)
          return Promise.resolve()
        }),
      clock,
      startTimer,
    })
    this.#members[index] = { node: virtualNode.id, place: virtualNode, table, router }
  }

  #apply(step: Step): void {
    if (step.type === 'outage') {
      this.#platform.startOutage(step.ms)
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

  /** Handles a non-idempotent request as a router does: claims the key, then sends. */
  async #request({ place: virtualNode, router }: Member, key: string): Promise<void> {
    this.#requests += 1
    const holder = `${virtualNode.id}/${this.#requests}`
    const grant = Grant.create({
      claims: router,
      key,
      holder,
      clock: virtualNode.clock,
      validityMs: GRANT_MS,
    })
    const verdict = await grant.claim()
    this.opts.tally(verdict.type)
    if (verdict.type === 'held' && verdict.done) this.#checkRan(key)
    if (verdict.type !== 'granted') return
    virtualNode.startTimer(this.#world.random() * MAX_SEND_DELAY_MS, () => {
      if (grant.isValid && this.#world.random() < 0.8) this.#send(virtualNode, key, grant)
      else grant.finish('not_run')
    })
  }

  #send(virtualNode: VirtualNode, key: string, grant: Grant): void {
    const run = { atMs: this.#world.nowMs, isFinished: false }
    const runs = this.#runs.get(key) ?? []
    const last = runs.at(-1)
    this.opts.tally('ran')
    if (last) {
      const sinceLastRunMs = run.atMs - last.atMs
      this.opts.tally('ran again after retention')
      assert.ok(
        sinceLastRunMs >= RETENTION_MS - GRANT_MS - 2 * MAX_SKEW_MS,
        `${key} ran twice within ${sinceLastRunMs} ms`,
      )
    }
    this.#runs.set(key, [...runs, run])
    virtualNode.startTimer(this.#world.random() * MAX_RUN_MS, () => {
      run.isFinished = true
      grant.finish('ran')
    })
  }

  #checkRan(key: string): void {
    this.opts.tally('told that it ran')
    const hasRun = this.#runs.get(key)?.some(({ isFinished }) => isFinished) ?? false
    assert.ok(hasRun, `${key} was said to have run but did not`)
  }

  /** Checks that every node is granted a new key once faults have ended. */
  async #checkProgress(): Promise<void> {
    for (const { place: virtualNode, router } of this.#members) {
      const request = {
        key: `fresh-${virtualNode.id}`,
        holder: virtualNode.id,
        value: '',
      }
      let verdict = 'none'
      void router.claim(request).then(({ type }) => {
        verdict = type
      })
      await this.#world.run(this.#world.nowMs + RECOVERY_MS)
      assert.equal(
        verdict,
        'granted',
        `${virtualNode.id} can't claim after all faults ended`,
      )
    }
  }
}

export const claimsModel: Model = (opts) => new ClaimsRun(opts).run()
