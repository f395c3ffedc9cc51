/**
 * Sessions: all first requests of a session whose version a claim decided get the same
 * version, all whose version the published state decided get the same version, and the
 * two differ only for sessions that began while claims could not be made.
 */
import assert from 'node:assert/strict'
import { ClaimRouter, ClaimTable, PinBacklog, SessionPins } from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualNetwork } from '../virtualNetwork.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../virtualWorld.js'

const RANGES = 2
const VERSIONS = ['m@v1', 'm@v2', 'm@v3']
const FLUSH_MS = 500

/** Time without faults before the final check, and for its requests, in milliseconds. */
const RECOVERY_MS = 30_000

/** Version that every node selects from the published state. */
const PUBLISHED_VERSION = 'm@v1'

interface Member {
  readonly node: string
  /** The simulated node that this runs on. */
  readonly place: VirtualNode
  readonly table: ClaimTable
  readonly pins: SessionPins
}

class SessionsRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  /** Versions by session and by whether a claim or the published state decided. */
  readonly #versions = new Map<string, Set<string>>()
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
    await this.#checkAgreement()
    for (const { table } of this.#members) table.close()
  }

  #start(index: number): void {
    this.#started += 1
    const virtualNode = new VirtualNode(`n${index}-${this.#started}`, this.#world)
    const { clock, startTimer } = virtualNode
    const table = ClaimTable.create({
      store: this.#platform.storeOf(virtualNode),
      kind: 'session',
      ranges: RANGES,
      renews: true,
      permanent: true,
      clock,
      wallClock: clock,
      random: this.#world.random,
      startTimer,
    })
    const claims: ClaimRouter<Member> = ClaimRouter.create<Member>({
      table,
      self: { node: virtualNode.id },
      aliveMembers: () =>
        this.#members.filter(
          ({ place: other }) => other !== virtualNode && this.#world.random() < 0.8,
        ),
      send: (owner, request, timeoutMs) =>
        this.#network.call(virtualNode, owner.place, () =>
          owner.table.claim(request, timeoutMs),
        ),
      sendNote: () => Promise.resolve(),
      clock,
      startTimer,
    })
    const backlog = PinBacklog.create({
      claim: (request) => claims.claim(request),
      onConflict: () => {
        this.opts.tally('pin conflict')
      },
    })
    const pins = SessionPins.create({ claims, backlog })
    this.#members[index] = { node: virtualNode.id, place: virtualNode, table, pins }
    this.#scheduleFlushes(virtualNode, pins)
  }

  #scheduleFlushes(virtualNode: VirtualNode, pins: SessionPins): void {
    virtualNode.startTimer(FLUSH_MS, () => {
      const next = pins.flush().then(() => {
        this.#scheduleFlushes(virtualNode, pins)
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
      this.#world.spawn(this.#request(member, `s${step.key}`))
    }
  }

  /** A request without a session token; the node proposes a random version. */
  async #request({ place: virtualNode, pins }: Member, key: string): Promise<void> {
    this.#requests += 1
    const proposed = VERSIONS[Math.floor(this.#world.random() * VERSIONS.length)] ?? ''
    const pin = await pins.pin({
      key,
      holder: `${virtualNode.id}/${this.#requests}`,
      proposed,
      published: PUBLISHED_VERSION,
      isOnlyChoice: false,
    })
    if (!pin) return
    const { version, source } = pin
    this.opts.tally(source)
    const isClaimed = source === 'granted' || source === 'held'
    const versions = this.#versionsOf(key, isClaimed)
    versions.add(version)
    assert.equal(versions.size, 1, `${key} got ${[...versions].join(' and ')}`)
  }

  #versionsOf(key: string, isClaimed: boolean): Set<string> {
    const name = `${key} ${isClaimed ? 'claimed' : 'published'}`
    const versions = this.#versions.get(name) ?? new Set()
    this.#versions.set(name, versions)
    return versions
  }

  /** Checks that all nodes return the same version of each session once faults have ended. */
  async #checkAgreement(): Promise<void> {
    for (const name of [...this.#versions.keys()]) {
      const [key = ''] = name.split(' ')
      for (const member of this.#members) {
        this.#world.spawn(this.#request(member, key))
      }
    }
    await this.#world.run(this.#world.nowMs + RECOVERY_MS)
  }
}

export const sessionsModel: Model = (opts) => new SessionsRun(opts).run()
