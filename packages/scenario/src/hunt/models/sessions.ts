/**
 * Sessions: all first requests of a session that a claim decided get one version,
 * all that the published state decided get one version, and the two differ only
 * for sessions that began while claims could not be made.
 */
import assert from 'node:assert/strict'
import { ClaimRouter, ClaimTable, PinBacklog, SessionPins } from '@wagtailway/core'
import type { Model, ModelOptions } from '../model.js'
import { NODES, SCHEDULE_MS, type Step } from '../schedule.js'
import { VirtualNetwork } from '../virtualNetwork.js'
import { VirtualPlatform } from '../virtualPlatform.js'
import { VirtualNode, VirtualWorld } from '../world.js'

const RANGES = 2
const VERSIONS = ['m@v1', 'm@v2', 'm@v3']
const FLUSH_MS = 500
const SETTLE_MS = 30_000

/** Version that every node would choose from the published state. */
const PUBLISHED = 'm@v1'

interface Member {
  readonly node: string
  readonly place: VirtualNode
  readonly table: ClaimTable
  readonly pins: SessionPins
}

class SessionsRun {
  readonly #world: VirtualWorld
  readonly #platform: VirtualPlatform
  readonly #network: VirtualNetwork
  readonly #members: Member[] = []
  /** Versions by session and by whether a claim decided. */
  readonly #versions = new Map<string, Set<string>>()
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
    await this.#checkAgreement()
    for (const { table } of this.#members) table.close()
  }

  #start(index: number): void {
    this.#started += 1
    const place = new VirtualNode(`n${index}-${this.#started}`, this.#world)
    const { clock, startTimer } = place
    const table = ClaimTable.create({
      store: this.#platform.storeOf(place),
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
      self: { node: place.id },
      aliveMembers: () =>
        this.#members.filter(
          ({ place: other }) => other !== place && this.#world.random() < 0.8,
        ),
      send: (owner, request, timeoutMs) =>
        this.#network.call(place, owner.place, () =>
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
    this.#members[index] = { node: place.id, place, table, pins }
    this.#flushForEver(place, pins)
  }

  #flushForEver(place: VirtualNode, pins: SessionPins): void {
    place.startTimer(FLUSH_MS, () => {
      const next = pins.flush().then(() => {
        this.#flushForEver(place, pins)
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
      this.#world.spawn(this.#request(member, `s${step.key}`))
    }
  }

  /** A request whose caller carries no token; each node would choose as it likes. */
  async #request({ place, pins }: Member, key: string): Promise<void> {
    this.#requests += 1
    const proposed = VERSIONS[Math.floor(this.#world.random() * VERSIONS.length)] ?? ''
    const pin = await pins.pin({
      key,
      holder: `${place.id}/${this.#requests}`,
      proposed,
      published: PUBLISHED,
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

  /** Once faults have ended, every node tells the same version of each session. */
  async #checkAgreement(): Promise<void> {
    for (const name of [...this.#versions.keys()]) {
      const [key = ''] = name.split(' ')
      for (const member of this.#members) {
        this.#world.spawn(this.#request(member, key))
      }
    }
    await this.#world.run(this.#world.nowMs + SETTLE_MS)
  }
}

export const sessionsModel: Model = (opts) => new SessionsRun(opts).run()
