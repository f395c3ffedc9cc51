import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { bindOwner, callOwned, currentOwner, runOwned } from '../errorOwner.js'
import { reportOf } from '../errorReport.js'

describe('bindOwner', () => {
  it('runs a listener for the owner that registered it, and gives it the error', () => {
    const ended: unknown[] = []
    const owner = { work: 'request', end: (err: unknown) => ended.push(err) }
    const emitter = new EventEmitter()
    const seen: unknown[] = []
    runOwned(owner, () => {
      emitter.on(
        'data',
        bindOwner((...args: unknown[]) => {
          seen.push(currentOwner(), ...args)
          throw new Error('a')
        }),
      )
    })
    emitter.emit('data', 1, 2)
    assert.deepEqual(seen, [owner, 1, 2])
    assert.equal(String(ended[0]), 'Error: a')
    assert.equal(currentOwner(), undefined)
  })
})

describe('callOwned', () => {
  it('rejects with the error of a callback, though the call itself never ends', async () => {
    const call = (): Promise<never> => {
      setImmediate(() => currentOwner()?.end(new Error('in a callback')))
      return new Promise(() => undefined)
    }
    await assert.rejects(callOwned('store call', 'servers', call), /in a callback/)
  })

  it('tells that nobody learns of an error after the end of the call', async () => {
    let owner: ReturnType<typeof currentOwner>
    const call = (): Promise<number> => {
      owner = currentOwner()
      return Promise.resolve(7)
    }
    assert.equal(await callOwned('store call', 'servers', call), 7)
    assert.equal(owner?.end(new Error('late')), false)
  })
})

describe('reportOf', () => {
  it('names the first place outside of the runtime and of libraries', () => {
    const err = new Error('no list')
    err.stack = [
      'Error: no list',
      '    at emit (node:events:519:28)',
      '    at parse (file:///app/node_modules/zod/index.js:1:2)',
      '    at FeedState.applyList (file:///app/dist/feed/feedState.js:212:7)',
      '    at main (file:///app/dist/main.js:3:4)',
    ].join('\n')
    assert.equal(reportOf(err).place, 'FeedState.applyList feedState.js:212:7')
  })

  it('takes anything that was thrown, and bounds it', () => {
    assert.equal(reportOf(Object.create(null)).err, 'object')
    assert.equal(reportOf('a'.repeat(10_000)).err.length, 500)
    const err = new Error('a')
    err.stack = `Error: a\n${'    at f (file:///app/f.js:1:2)\n'.repeat(1_000)}`
    assert.equal(reportOf(err).stack?.length, 4_000)
    assert.equal(reportOf(undefined).place, 'unknown')
    assert.equal(reportOf(Object.assign(err, { stack: 7 })).stack, undefined)
    const broken = Object.defineProperty(new Error('b'), 'stack', {
      get: () => {
        throw new Error('no stack')
      },
    })
    assert.equal(reportOf(broken).place, 'unknown')
  })
})
