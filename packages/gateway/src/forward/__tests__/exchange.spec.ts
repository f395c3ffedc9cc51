import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { currentOwner } from '@wagtailway/core'
import { createMetrics } from '../../observe/metrics.js'
import { Exchange } from '../exchange.js'

function createExchange(): Exchange {
  const observer = { log: () => undefined, metrics: createMetrics() }
  return Exchange.create(observer, () => undefined)
}

describe('Exchange', () => {
  // Guards against: a place at a server that is held for ever.
  it('releases what its code takes after an error has ended it', async () => {
    const exchange = createExchange()
    const released: string[] = []
    const run = exchange.run(async () => {
      exchange.defer(() => released.push('first'))
      setTimeout(() => currentOwner()?.end(new Error('in a callback')), 1)
      // Such as a place that is asked for at another instance.
      await new Promise((resolve) => setTimeout(resolve, 20))
      exchange.defer(() => released.push('late'))
    })
    await run
    assert.deepEqual(released, ['first'])
    await new Promise((resolve) => setTimeout(resolve, 40))
    assert.deepEqual(released, ['first', 'late'])
  })

  it('ends also if the error can not be logged', async () => {
    const events: string[] = []
    const log = (): void => {
      throw new Error('no log')
    }
    const exchange = Exchange.create({ log, metrics: createMetrics() }, () => {
      events.push('told')
    })
    const run = exchange.run(async () => {
      exchange.defer(() => events.push('released'))
      await new Promise(() => undefined)
    })
    assert.throws(() => {
      exchange.end(new Error('in a callback'))
    }, /no log/)
    await run
    assert.deepEqual(events, ['told', 'released'])
  })
})
