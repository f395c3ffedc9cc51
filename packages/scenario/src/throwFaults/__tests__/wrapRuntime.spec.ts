import assert from 'node:assert/strict'
import { EventEmitter, once } from 'node:events'
import { createServer, get, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import { afterEach, before, describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { promisify } from 'node:util'
import { CallbackThrower, ThrownFault } from '../callbackThrower.js'
import { wrapRuntime } from '../wrapRuntime.js'

const thrower = CallbackThrower.create({
  clock: () => performance.now(),
  onThrow: () => undefined,
})

/** Places of this file that were called, each without its line. */
function calledPlaces(): string[] {
  return [...thrower.takeCalls()]
    .filter(([place, calls]) => calls > 0 && place.includes('wrapRuntime.spec.js'))
    .map(([place]) => place.replace(/^.*:\d+ ?/, ''))
}

/** Lets the place that is called next by its name throw at its next call. */
function throwAt(what: string, when: 'before' | 'after' = 'before'): void {
  const place = [...thrower.takeCalls().keys()].findLast((name) => name.endsWith(what))
  assert.ok(place !== undefined, `${what} was not called`)
  thrower.follow({ mode: 'place', place, call: 1, when })
}

before(() => {
  wrapRuntime(thrower, (place) => place.includes('excluded'))
})

afterEach(() => {
  thrower.follow({ mode: 'idle' })
  thrower.takeCalls()
})

describe('listeners of an emitter', () => {
  it('get this and the arguments, and are removed by themselves', () => {
    const emitter = new EventEmitter()
    const calls: unknown[] = []
    const listener = function (this: unknown, ...args: unknown[]): void {
      calls.push([this, ...args])
    }
    for (const add of ['on', 'addListener', 'prependListener'] as const)
      for (const remove of ['off', 'removeListener'] as const) {
        emitter[add]('event', listener)
        emitter.emit('event', 1, 2)
        assert.deepEqual(calls.splice(0), [[emitter, 1, 2]])
        assert.deepEqual(emitter.listeners('event'), [listener])
        assert.equal(emitter.listenerCount('event', listener), 1)
        emitter[remove]('event', listener)
        assert.equal(emitter.emit('event'), false)
      }
  })

  it('of once are called once, and removed by themselves before it', () => {
    const emitter = new EventEmitter()
    let calls = 0
    const listener = (): void => {
      calls += 1
      // As without wrapping, it is removed before it is called.
      if (calls < 3) emitter.emit('event')
    }
    for (const add of ['once', 'prependOnceListener'] as const) {
      calls = 0
      emitter[add]('event', listener)
      assert.deepEqual(emitter.listeners('event'), [listener])
      const [raw] = emitter.rawListeners('event') as { listener?: unknown }[]
      assert.equal(raw?.listener, listener)
      emitter.emit('event')
      assert.equal(calls, 1)
      emitter[add]('event', listener).off('event', listener)
      assert.equal(emitter.listenerCount('event'), 0)
    }
  })

  it('keep their order and tell their originals to newListener', () => {
    const emitter = new EventEmitter()
    const order: string[] = []
    const told: unknown[] = []
    emitter.on('newListener', (_, listener) => told.push(listener))
    const first = (): unknown => order.push('first')
    const second = (): unknown => order.push('second')
    emitter.once('event', second).prependListener('event', first)
    emitter.emit('event')
    assert.deepEqual(order, ['first', 'second'])
    assert.deepEqual(told, [second, first])
  })

  it('throw when ordered, before or after they have run', () => {
    for (const when of ['before', 'after'] as const) {
      const emitter = new EventEmitter()
      let calls = 0
      emitter.on('ordered', () => (calls += 1))
      emitter.emit('ordered')
      throwAt('on ordered', when)
      assert.throws(() => emitter.emit('ordered'), ThrownFault)
      assert.equal(calls, when === 'before' ? 1 : 2)
      emitter.emit('ordered')
    }
  })

  it('of streams are wrapped once, and those of the runtime not at all', async () => {
    const stream = new PassThrough()
    const listener = (): void => undefined
    stream.on('data', listener).once('end', listener)
    const ended = once(stream, 'close')
    stream.end('text')
    await ended
    assert.deepEqual(calledPlaces().sort(), ['on data', 'on end'])
    stream.off('data', listener)
    assert.equal(stream.listenerCount('data'), 0)
  })

  it('stay as they are at places that are excluded', () => {
    const emitter = new EventEmitter()
    const listener = (): void => undefined
    const excluded = (): unknown => emitter.on('event', listener)
    excluded()
    assert.deepEqual(emitter.rawListeners('event'), [listener])
  })
})

describe('timers', () => {
  it('pass arguments on and can be cleared', async () => {
    const passed: unknown[] = []
    const cleared = [
      setTimeout(() => passed.push('timeout'), 1),
      setInterval(() => passed.push('interval'), 1),
    ]
    const immediate = setImmediate(() => passed.push('immediate'))
    cleared.forEach(clearTimeout)
    clearImmediate(immediate)
    setTimeout((...args: unknown[]) => passed.push(args), 1, 1, 2)
    await delay(20)
    assert.deepEqual(passed, [[1, 2]])
    assert.deepEqual(calledPlaces(), ['setTimeout', 'await setTimeout'])
  })

  it('can be awaited, with their value, and reject when ordered', async () => {
    assert.equal(await promisify(setTimeout)(1, 'value'), 'value')
    const wait = (): Promise<string> => delay(1, 'value')
    assert.equal(await wait(), 'value')
    throwAt('wait await setTimeout')
    await assert.rejects(wait(), ThrownFault)
    assert.equal(await wait(), 'value')
  })
})

describe('continuations of promises', () => {
  it('get the value, and reject when ordered', async () => {
    const run = (): Promise<number> => Promise.resolve(2).then((value) => value * 2)
    assert.equal(await run(), 4)
    throwAt('run then')
    await assert.rejects(run(), ThrownFault)
    const recover = (): Promise<string> => Promise.reject(new Error('x')).catch(String)
    assert.equal(await recover(), 'Error: x')
    let isFinished = false
    await Promise.resolve().finally(() => (isFinished = true))
    assert.ok(isFinished)
    assert.deepEqual(await Promise.all([run(), Promise.resolve(1)]), [4, 1])
  })
})

describe('callbacks of a server and its client', () => {
  it('are wrapped with all that they get', async () => {
    const server: Server = createServer((req, res) => {
      req.on('end', () => res.end(`${req.url ?? ''} read`)).resume()
    })
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => {
        resolve()
      })
    })
    const { port } = server.address() as AddressInfo
    const body = await new Promise<string>((resolve) => {
      get({ host: '127.0.0.1', port, path: '/a' }, (res: IncomingMessage) => {
        res.once('data', (chunk: Buffer) => {
          resolve(chunk.toString())
        })
      })
    })
    assert.equal(body, '/a read')
    const places = calledPlaces()
    for (const what of ['createServer', 'on end', 'listen', 'get', 'on data'])
      assert.equal(places.filter((place) => place.endsWith(what)).length, 1, what)
    server.closeAllConnections()
    server.close()
  })
})
