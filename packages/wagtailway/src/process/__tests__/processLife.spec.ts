import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { describe, it, type TestContext } from 'node:test'
import { runOwned } from '../errorOwner.js'
import { ProcessLife, SettingsError } from '../processLife.js'

interface Line {
  readonly event: string
  readonly reason?: unknown
  readonly status?: unknown
  readonly signal?: unknown
  readonly kind?: unknown
  readonly stack?: unknown
  readonly errors?: unknown
}

const MAX_DRAIN_MS = 5_000

function createLife(t: TestContext) {
  t.mock.timers.enable({ apis: ['setTimeout'] })
  const emitter = new EventEmitter()
  const lines: Line[] = []
  const errors: string[] = []
  const statuses: number[] = []
  const life = ProcessLife.create({
    process: Object.assign(emitter, {
      exit: (status: number) => {
        statuses.push(status)
      },
    }),
    writeError: (line) => errors.push(line),
  })
  const observe = (): void => {
    life.observe({ log: (event, fields) => lines.push({ event, ...fields }) })
  }
  const throwError = (message = 'a'): void => {
    emitter.emit('uncaughtException', new Error(message), 'uncaughtException')
  }
  const state = { hasStop: false }
  void life.stopRequested.then(() => (state.hasStop = true))
  return { life, emitter, lines, errors, statuses, observe, throwError, state }
}

/** Lets promises that are resolved already run. */
async function settle(): Promise<void> {
  for (let i = 0; i < 10; i += 1) await Promise.resolve()
}

describe('ProcessLife', () => {
  it('drains after a value that has no text is thrown', (t) => {
    const { emitter, lines, observe } = createLife(t)
    observe()
    assert.doesNotThrow(() => {
      emitter.emit('uncaughtException', Object.create(null), 'uncaughtException')
    })
    assert.equal(lines[0]?.event, 'unforeseen_error')
  })

  it('ends with 0 once the program has stopped, and names the first signal', async (t) => {
    const { life, emitter, lines, statuses, observe } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    const running = life.run(() => life.stopRequested)
    emitter.emit('SIGINT')
    emitter.emit('SIGTERM')
    await running
    assert.deepEqual(statuses, [0])
    assert.deepEqual(lines, [
      { event: 'exit', reason: 'stopped', status: 0, signal: 'SIGINT' },
    ])
  })

  it('ends with 2 and the message for bad settings, with 1 for another failed start', async (t) => {
    for (const [err, status] of [
      [new SettingsError('no zone'), 2],
      [new Error('port in use'), 1],
    ] as const) {
      const { life, errors, statuses } = createLife(t)
      await life.run(() => Promise.reject(err))
      assert.deepEqual(statuses, [status])
      assert.equal(errors[0], err.message)
      assert.match(errors[1] ?? '', /"event":"exit"/)
      t.mock.timers.reset()
    }
  })

  it('has no stop before there are requests: it ends at once', async (t) => {
    const { life, emitter, statuses } = createLife(t)
    void life.run(() => new Promise(() => undefined))
    emitter.emit('SIGTERM')
    await settle()
    assert.deepEqual(statuses, [0])
  })

  it('drains after an unforeseen error and ends with 70', async (t) => {
    const { life, lines, statuses, observe, throwError, state } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    let completeDrain: () => void = () => undefined
    const drained = new Promise<void>((resolve) => (completeDrain = resolve))
    const running = life.run(() => life.stopRequested.then(() => drained))
    throwError()
    throwError()
    await settle()
    assert.ok(state.hasStop)
    assert.deepEqual(statuses, [])
    assert.deepEqual(
      lines.map(({ event, kind }) => [event, kind]),
      [
        ['unforeseen_error', 'uncaughtException'],
        ['unforeseen_error', 'uncaughtException'],
      ],
    )
    assert.match(String(lines[0]?.stack), /processLife\.spec/)
    completeDrain()
    await running
    assert.deepEqual(statuses, [70])
    assert.equal(lines.at(-1)?.reason, 'unforeseen_error')
  })

  it('ends with 70 if an error comes up during a stop that was asked for', async (t) => {
    const { life, emitter, lines, statuses, observe, throwError } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    const running = life.run(() => life.stopRequested)
    emitter.emit('SIGTERM')
    throwError()
    await running
    assert.deepEqual(statuses, [70])
    assert.equal(lines.at(-1)?.signal, 'SIGTERM')
  })

  it('ends a drain after an error that takes too long', async (t) => {
    const { life, statuses, observe, throwError } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    void life.run(() => new Promise(() => undefined))
    throwError()
    t.mock.timers.tick(MAX_DRAIN_MS - 1)
    await settle()
    assert.deepEqual(statuses, [])
    t.mock.timers.tick(1)
    await settle()
    assert.deepEqual(statuses, [70])
  })

  it('completes a drain however many errors come up meanwhile', async (t) => {
    const { life, lines, statuses, observe, throwError } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    let completeDrain: () => void = () => undefined
    const drained = new Promise<void>((resolve) => (completeDrain = resolve))
    const running = life.run(() => drained)
    for (let i = 0; i < 60; i += 1) throwError()
    await settle()
    assert.deepEqual(statuses, [])
    completeDrain()
    await running
    assert.deepEqual(statuses, [70])
    assert.equal(lines.filter(({ event }) => event === 'exit').length, 1)
    assert.equal(lines.at(-1)?.errors, 60)
  })

  it('goes on with a drain while answers are owed, and a while after', async (t) => {
    const { life, statuses, observe, throwError } = createLife(t)
    observe()
    let owedForMs = 12_000
    life.beginServing(MAX_DRAIN_MS, () => owedForMs)
    void life.run(() => new Promise(() => undefined))
    throwError()
    t.mock.timers.tick(12_000 + MAX_DRAIN_MS)
    await settle()
    assert.deepEqual(statuses, [])
    owedForMs = -1
    t.mock.timers.tick(12_000 + MAX_DRAIN_MS)
    await settle()
    assert.deepEqual(statuses, [70])
  })

  it('ends a drain in the time of a stop that is asked for meanwhile', async (t) => {
    const { life, emitter, lines, statuses, observe, throwError } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS, () => 60_000)
    void life.run(() => new Promise(() => undefined))
    throwError()
    emitter.emit('SIGTERM')
    t.mock.timers.tick(MAX_DRAIN_MS - 1)
    await settle()
    assert.deepEqual(statuses, [])
    t.mock.timers.tick(1)
    await settle()
    assert.deepEqual(statuses, [70])
    assert.equal(lines.at(-1)?.signal, 'SIGTERM')
  })

  it('ends only the work that an error belongs to', async (t) => {
    const { lines, statuses, observe, emitter } = createLife(t)
    observe()
    const ended: unknown[] = []
    const owner = { work: 'request', id: 'r-1', end: (err: unknown) => ended.push(err) }
    const err = new Error('a')
    await new Promise<void>((resolve) => {
      runOwned(owner, () => {
        setImmediate(() => {
          emitter.emit('uncaughtException', err, 'uncaughtException')
          resolve()
        })
      })
    })
    assert.deepEqual(ended, [err])
    assert.deepEqual([lines, statuses], [[], []])
  })

  it('drains if the work that an error belongs to can not be ended', async (t) => {
    const { lines, observe, emitter, state } = createLife(t)
    observe()
    const end = (): void => {
      throw new Error('can not be ended')
    }
    runOwned({ work: 'request', end }, () => {
      emitter.emit('uncaughtException', new Error('a'), 'uncaughtException')
    })
    await settle()
    assert.ok(state.hasStop)
    assert.equal(lines[0]?.event, 'unforeseen_error')
  })

  it('takes a stop that fails for an unforeseen error', async (t) => {
    const { life, emitter, lines, statuses, observe } = createLife(t)
    observe()
    life.beginServing(MAX_DRAIN_MS)
    const running = life.run(async () => {
      await life.stopRequested
      throw new Error('can not stop')
    })
    emitter.emit('SIGTERM')
    await running
    assert.deepEqual(statuses, [70])
    assert.equal(lines[0]?.kind, 'stop_failed')
  })

  it('keeps an error that its log can not take', async (t) => {
    const { life, errors, statuses, throwError } = createLife(t)
    life.observe({
      log: () => {
        throw new Error('no log')
      },
    })
    throwError('the cause')
    await settle()
    assert.match(errors[0] ?? '', /the cause/)
    assert.deepEqual(statuses, [70])
  })
})
