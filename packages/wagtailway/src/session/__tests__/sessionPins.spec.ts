import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ClaimRequest, ClaimVerdict } from '../../claim/claimTable.js'
import type { Candidate } from '../../config/effective.js'
import { PinBacklog } from '../pinBacklog.js'
import { hasSingleChoice, deterministicChoice } from '../deterministicChoice.js'
import { SessionPins } from '../sessionPins.js'

const pinRequest = {
  key: 'panel/dossier/s1',
  holder: 'q1',
  proposed: 'm@v2',
  published: 'm@v1',
  isOnlyChoice: false,
}

function setUp(verdictOn: (request: ClaimRequest) => ClaimVerdict) {
  const claimed: ClaimRequest[] = []
  const claim = (request: ClaimRequest): Promise<ClaimVerdict> => {
    claimed.push(request)
    return Promise.resolve(verdictOn(request))
  }
  let conflicts = 0
  const onConflict = (): void => {
    conflicts += 1
  }
  const backlog = PinBacklog.create({ claim, onConflict })
  const pins = SessionPins.create({ claims: { claim }, backlog })
  return { pins, backlog, claimed, conflictCount: () => conflicts }
}

describe('SessionPins', () => {
  it('uses the version of the request that claimed the session first', async () => {
    const { pins } = setUp(() => ({
      type: 'held',
      holder: 'q0',
      value: 'm@v3',
      done: false,
    }))
    assert.deepEqual(await pins.pin(pinRequest), { version: 'm@v3', source: 'held' })
  })

  it('uses the deterministic choice while no claim can be made, and keeps to it', async () => {
    let isUnavailable = true
    const { pins, backlog, claimed } = setUp(() => ({
      type: isUnavailable ? 'unavailable' : 'granted',
    }))
    assert.deepEqual(await pins.pin(pinRequest), { version: 'm@v1', source: 'published' })
    await pins.flush()
    assert.equal(backlog.size, 1)
    assert.deepEqual(await pins.pin(pinRequest), { version: 'm@v1', source: 'backlog' })
    isUnavailable = false
    await pins.flush()
    assert.equal(backlog.size, 0)
    assert.equal(claimed.at(-1)?.value, 'm@v1')
  })

  it('decides nothing without a claim while other instances may be able to claim', async () => {
    const claim = (): Promise<ClaimVerdict> => Promise.resolve({ type: 'unavailable' })
    const backlog = PinBacklog.create({ claim })
    const isPlatformUnavailable = (): boolean => false
    const pins = SessionPins.create({
      claims: { claim },
      backlog,
      isPlatformUnavailable,
    })
    assert.equal(await pins.pin(pinRequest), undefined)
    assert.equal(backlog.size, 0)
  })

  it('does not wait for the write when there is no other choice', async () => {
    const { pins, claimed } = setUp(() => ({ type: 'granted' }))
    const pin = await pins.pin({ ...pinRequest, isOnlyChoice: true })
    assert.deepEqual(pin, { version: 'm@v1', source: 'only_choice' })
    assert.equal(claimed.length, 0)
    await pins.flush()
    assert.equal(claimed.length, 1)
  })

  it('counts a pin whose session was meanwhile pinned to another version', async () => {
    const { pins, conflictCount } = setUp(() => ({
      type: 'held',
      holder: 'q0',
      value: 'm@v3',
      done: false,
    }))
    await pins.pin({ ...pinRequest, isOnlyChoice: true })
    await pins.flush()
    assert.equal(conflictCount(), 1)
  })
})

function candidate(version: string, price: number, expectedQuality: number): Candidate {
  return {
    model: 'm',
    version,
    key: `m@${version}`,
    promptPrice: price,
    completionPrice: price,
    expectedQuality,
  }
}

describe('deterministicChoice', () => {
  const cls = { quality: { target: 0.8, atLeast: 0 } } as unknown as Parameters<
    typeof deterministicChoice
  >[1]
  const rollout = { owner: 'o', model: 'm', from: 'v1', to: 'v2', exposureBudget: 10 }
  const good = candidate('v1', 3, 0.9)
  const newer = candidate('v2', 1, 0.9)
  const weak = candidate('v3', 2, 0.5)

  it('excludes the version under rollout and versions below the target', () => {
    const usable = [weak, newer, good]
    assert.equal(deterministicChoice('s', cls, usable, [rollout])?.key, 'm@v1')
    assert.equal(deterministicChoice('s', cls, usable, [])?.key, 'm@v2')
  })

  it('selects the version under rollout if there is no other', () => {
    assert.equal(deterministicChoice('s', cls, [newer], [rollout])?.key, 'm@v2')
  })

  it('does not depend on the order of the versions', () => {
    const twin = candidate('v4', 3, 0.9)
    for (let i = 0; i < 20; i++) {
      const expected = deterministicChoice(`s${i}`, cls, [good, twin], [])
      assert.equal(deterministicChoice(`s${i}`, cls, [twin, good], []), expected)
    }
  })

  it('has a single choice only with one version and no rollout of its model', () => {
    assert.equal(hasSingleChoice([good], []), true)
    assert.equal(hasSingleChoice([good], [rollout]), false)
    assert.equal(hasSingleChoice([good, weak], []), false)
  })
})
