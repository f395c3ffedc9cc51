/**
 * Random faults against what the exchanges promise, in virtual time.
 * A long hunt: `WAGTAILWAY_HUNT_RUNS=10000 WAGTAILWAY_HUNT_SEED=7 node --test` on this file.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ACCEPTED_SHARE } from '@wagtailway/core'
import fc from 'fast-check'
import { sampleConfig } from '../sampleConfig.js'
import { VirtualFleet } from '../virtualFleet.js'
import type { VirtualNode } from '../virtualNode.js'

const RUNS = Number(process.env['WAGTAILWAY_HUNT_RUNS'] ?? 15)
const SEED = Number(process.env['WAGTAILWAY_HUNT_SEED'] ?? 1)

const SIZE = { workspaces: 1, models: 1, classesPerWorkspace: 1 }
const FRESH_MS = 10_000
const STEP_MS = 250
const WARM_UP_MS = 8_000
const FAULTS_MS = 30_000
const SETTLE_MS = 40_000

const actionSchema = fc.record({
  atMs: fc.integer({ min: 0, max: FAULTS_MS }),
  node: fc.nat({ max: 11 }),
  durationMs: fc.integer({ min: 500, max: 20_000 }),
  kind: fc.constantFrom(
    'write',
    'kill',
    'replace',
    'freeze',
    'cutFromPeers',
    'cutFromPlatform',
    'cutFromBoth',
    'regionsApart',
    'outage',
    'outageForMost',
  ),
})

type Action = typeof actionSchema extends fc.Arbitrary<infer T> ? T : never

interface Acceptance {
  readonly revision: number
  readonly storedAtMs: number
  acceptedAtMs: number
}

/** A fleet under a schedule of faults, with what its nodes must never do. */
class FaultRun {
  readonly fleet: VirtualFleet
  readonly #written: Acceptance[] = []
  readonly #revisions = new Map<VirtualNode, number>()
  /** Faults that are still on, so that one's end does not end another of its kind. */
  readonly #on = new Map<string, number>()

  constructor(nodes: number, seed: number, loss: number) {
    this.fleet = VirtualFleet.create({ nodes, seed, config: sampleConfig(SIZE) })
    this.fleet.loss = loss
  }

  run(actions: readonly Action[]): void {
    const { events } = this.fleet
    for (const action of actions) {
      events.after(WARM_UP_MS + action.atMs, () => {
        this.#begin(action)
      })
    }
    const endMs = WARM_UP_MS + FAULTS_MS + SETTLE_MS
    for (let atMs = STEP_MS; atMs <= endMs; atMs += STEP_MS) {
      events.runUntil(atMs)
      this.#check()
    }
    this.#checkEnd()
  }

  #begin({ kind, node: index, durationMs }: Action): void {
    const { fleet } = this
    const node = fleet.nodes[index % fleet.nodes.length]
    if (!node) return
    if (kind === 'write') this.#write()
    else if (kind === 'freeze') fleet.freeze(node, durationMs)
    else if (kind === 'kill' || kind === 'replace') this.#end(node, kind)
    else {
      this.#set(kind, node, true)
      fleet.events.after(durationMs, () => {
        this.#set(kind, node, false)
      })
    }
  }

  #write(): void {
    if (this.fleet.platform.isAway) return
    const revision = this.fleet.platform.store(
      sampleConfig(SIZE, this.#written.length + 1),
    )
    const storedAtMs = this.fleet.events.now()
    this.#written.push({ revision, storedAtMs, acceptedAtMs: Number.POSITIVE_INFINITY })
  }

  #end(node: VirtualNode, kind: 'kill' | 'replace'): void {
    if (this.fleet.nodes.length <= 3) return
    this.fleet.kill(node)
    if (kind === 'replace') this.fleet.startNode()
    // The list is the platform's own, and is kept up while its API is away.
    this.fleet.publishList()
  }

  #set(kind: Action['kind'], node: VirtualNode, on: boolean): void {
    const { fleet } = this
    const isFleetWide = ['regionsApart', 'outage'].includes(kind)
    const key = isFleetWide ? kind : `${kind} ${node.identity.node}`
    const count = (this.#on.get(key) ?? 0) + (on ? 1 : -1)
    this.#on.set(key, count)
    const isOn = count > 0
    if (kind === 'outage') fleet.platform.isAway = isOn
    if (kind === 'regionsApart') fleet.areRegionsApart = isOn
    if (kind === 'cutFromPeers' || kind === 'cutFromBoth') {
      toggle(fleet.cutFromPeers, node, isOn)
    }
    if (kind === 'cutFromPlatform' || kind === 'cutFromBoth') {
      toggle(fleet.cutFromPlatform, node, isOn)
    }
    if (kind === 'outageForMost') {
      for (const other of fleet.nodes.filter((n) => n !== node)) {
        toggle(fleet.cutFromPlatform, other, isOn)
      }
    }
  }

  #check(): void {
    const now = this.fleet.events.now()
    this.#noteAccepted(now)
    for (const node of this.fleet.running) {
      const { config } = node.exchange
      assert.ok(
        config.revision >= (this.#revisions.get(node) ?? 0),
        'went back to an older revision',
      )
      this.#revisions.set(node, config.revision)
      if (config.isFresh) this.#checkServing(node, now)
    }
  }

  #noteAccepted(now: number): void {
    const { nodes } = this.fleet
    for (const written of this.#written) {
      const holders = nodes.filter(
        ({ exchange }) => exchange.config.revision >= written.revision,
      )
      if (holders.length < nodes.length * ACCEPTED_SHARE) continue
      written.acceptedAtMs = Math.min(written.acceptedAtMs, now)
    }
  }

  #checkServing(node: VirtualNode, now: number): void {
    const { config } = node.exchange
    const newer = this.#written.filter(({ revision }) => revision > config.revision)
    for (const { storedAtMs, acceptedAtMs } of newer) {
      const sinceMs = now - (config.isServingUnconfirmed ? acceptedAtMs : storedAtMs)
      const how = config.isServingUnconfirmed ? 'in an outage' : 'by its proof'
      assert.ok(
        sinceMs <= FRESH_MS,
        `serves ${how} with an older revision after ${sinceMs} ms`,
      )
    }
  }

  #checkEnd(): void {
    const { running, platform } = this.fleet
    for (const node of running) {
      const { exchange, identity } = node
      assert.equal(exchange.config.revision, platform.revision, identity.node)
      assert.equal(exchange.config.isFresh, true, `${identity.node} is stale`)
      if (this.fleet.loss > 0) continue
      assert.equal(exchange.members.alive().length, running.length - 1, identity.node)
    }
  }
}

function toggle(set: Set<VirtualNode>, node: VirtualNode, on: boolean): void {
  if (on) set.add(node)
  else set.delete(node)
}

describe('exchanges under random faults', () => {
  it('never revert, never claim a freshness that they lack, and converge', () => {
    const schedule = fc.array(actionSchema, { minLength: 1, maxLength: 8 })
    const property = fc.property(
      fc.integer({ min: 4, max: 10 }),
      fc.nat({ max: 100_000 }),
      fc.constantFrom(0, 0, 0.1),
      schedule,
      (nodes, seed, loss, actions) => {
        new FaultRun(nodes, seed, loss).run(actions)
      },
    )
    fc.assert(property, { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  })
})
