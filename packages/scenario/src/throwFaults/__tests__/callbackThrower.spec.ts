import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  CallbackThrower,
  ThrownFault,
  type Callback,
  type Thrown,
} from '../callbackThrower.js'
import type { ThrowOrder } from '../throwOrder.js'

const PLACES = ['a.js:1 on close', 'b.js:2 setTimeout']
const CALLS = 2_000

function create(order: ThrowOrder, clock: () => number = () => 0) {
  const throws: Thrown[] = []
  const thrower = CallbackThrower.create({
    clock,
    onThrow: (thrown) => throws.push(thrown),
  })
  thrower.follow(order)
  return { thrower, throws }
}

function callOften(callback: Callback): number {
  let count = 0
  for (let i = 0; i < CALLS; i += 1) {
    try {
      callback()
    } catch (err) {
      assert.ok(err instanceof ThrownFault)
      count += 1
    }
  }
  return count
}

/** Throws of a seed if the places are called in turn. */
function throwsOf(seed: number): Thrown[] {
  const { thrower, throws } = create({ mode: 'seeded', seed, every: 50, pauseMs: 0 })
  const callbacks = PLACES.map((place) => thrower.wrap(place, () => undefined))
  callbacks.forEach(callOften)
  return throws
}

describe('CallbackThrower', () => {
  it('passes on this, the arguments, the result and errors', () => {
    const { thrower } = create({ mode: 'idle' })
    const own = { factor: 3 }
    const wrapped = thrower.wrap('a.js:1', function (...args) {
      return [this, ...args]
    })
    assert.deepEqual(Reflect.apply(wrapped, own, [1, 'x']), [own, 1, 'x'])
    const failing = thrower.wrap('a.js:2', () => {
      throw new RangeError('its own')
    })
    assert.throws(() => failing(), RangeError)
  })

  it('throws the same with the same seed, and something else with another one', () => {
    assert.deepEqual(throwsOf(7), throwsOf(7))
    assert.notDeepEqual(throwsOf(7), throwsOf(8))
  })

  it('throws at a place independently of the calls of others', () => {
    const { thrower, throws } = create({ mode: 'seeded', seed: 7, every: 50, pauseMs: 0 })
    callOften(thrower.wrap(PLACES[1] ?? '', () => undefined))
    const ofPlace = throwsOf(7).filter(({ place }) => place === PLACES[1])
    assert.deepEqual(
      throws.map(({ call, when }) => [call, when]),
      ofPlace.map(({ call, when }) => [call, when]),
    )
  })

  it('throws once in as many calls as ordered, before and after the callback', () => {
    const throws = throwsOf(3)
    const expected = (PLACES.length * CALLS) / 50
    assert.ok(throws.length > expected / 2 && throws.length < expected * 2)
    assert.deepEqual([...new Set(throws.map(({ when }) => when))].sort(), [
      'after',
      'before',
    ])
  })

  it('calls the callback unless it throws before it', () => {
    for (const when of ['before', 'after'] as const) {
      const { thrower } = create({ mode: 'place', place: 'a.js:1', call: 3, when })
      let calls = 0
      const wrapped = thrower.wrap('a.js:1', () => (calls += 1))
      assert.equal(callOften(wrapped), 1)
      assert.equal(calls, when === 'before' ? CALLS - 1 : CALLS)
    }
  })

  it('throws at the ordered place only, at the call since the order', () => {
    const { thrower, throws } = create({ mode: 'idle' })
    const callbacks = PLACES.map((place) => thrower.wrap(place, () => undefined))
    callbacks.forEach(callOften)
    thrower.follow({ mode: 'place', place: PLACES[0] ?? '', call: 2, when: 'before' })
    callbacks.forEach(callOften)
    assert.deepEqual(throws, [{ sequence: 1, place: PLACES[0], when: 'before', call: 2 }])
  })

  it('leaves the pause between two throws', () => {
    let nowMs = 0
    const order = { mode: 'seeded', seed: 1, every: 2, pauseMs: 100 } as const
    const { thrower } = create(order, () => nowMs)
    const wrapped = thrower.wrap('a.js:1', () => undefined)
    assert.equal(callOften(wrapped), 1)
    nowMs = 99
    assert.equal(callOften(wrapped), 0)
    nowMs = 100
    assert.equal(callOften(wrapped), 1)
  })

  it('counts the calls of each place since the last time', () => {
    const { thrower } = create({ mode: 'idle' })
    callOften(thrower.wrap('a.js:1', () => undefined))
    thrower.wrap('a.js:2', () => undefined)
    const expected = new Map([
      ['a.js:1', CALLS],
      ['a.js:2', 0],
    ])
    assert.deepEqual(thrower.takeCalls(), expected)
    assert.deepEqual([...thrower.takeCalls()], [])
  })
})
