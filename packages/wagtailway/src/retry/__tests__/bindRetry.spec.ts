import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { bindWithRetry, type BindResult } from '../bindRetry.js'

interface Trial {
  readonly result: BindResult
  /** When the attempts were made, in milliseconds. */
  readonly attemptsAtMs: readonly number[]
  readonly failures: readonly { readonly code: string; readonly waitedMs: number }[]
}

interface TrialOptions {
  /** Code of the error of an attempt at a time; `undefined` if it succeeds. */
  readonly codeAt: (nowMs: number) => string | undefined
  readonly deadlineMs?: number
  readonly maxPauseMs?: number
  readonly mayRetry?: (code: string) => boolean
  readonly stopAtMs?: number
}

/** Binds a socket in virtual time. */
async function bind(opts: TrialOptions): Promise<Trial> {
  const { stopAtMs = Number.POSITIVE_INFINITY, mayRetry } = opts
  const clock = VirtualClock.create()
  const attemptsAtMs: number[] = []
  const failures: { code: string; waitedMs: number }[] = []
  const result = await bindWithRetry({
    clock: clock.now,
    sleep: (ms) => {
      clock.advance(Math.min(ms, Math.max(0, stopAtMs - clock.now())))
      return Promise.resolve()
    },
    bind: () => {
      const nowMs = clock.now()
      attemptsAtMs.push(nowMs)
      const code = opts.codeAt(nowMs)
      if (code === undefined) return Promise.resolve()
      return Promise.reject(Object.assign(new Error(code), { code }))
    },
    deadlineMs: opts.deadlineMs ?? 10_000,
    maxPauseMs: opts.maxPauseMs ?? 200,
    onFailedAttempt: (code, waitedMs) => failures.push({ code, waitedMs }),
    isStopped: () => clock.now() >= stopAtMs,
    ...(mayRetry && { mayRetry }),
  })
  return { result, attemptsAtMs, failures }
}

function takenUntil(atMs: number, code = 'EADDRINUSE') {
  return (nowMs: number) => (nowMs < atMs ? code : undefined)
}

describe('bindWithRetry', () => {
  it('makes one attempt if the address is free', async () => {
    const { result, attemptsAtMs, failures } = await bind({ codeAt: takenUntil(0) })
    assert.deepEqual(result, { type: 'bound', waitedMs: 0 })
    assert.deepEqual(attemptsAtMs, [0])
    assert.deepEqual(failures, [])
  })

  for (const code of ['EADDRINUSE', 'EADDRNOTAVAIL'])
    it(`waits while there is ${code}, with growing pauses up to the longest`, async () => {
      const trial = await bind({ codeAt: takenUntil(1_000, code) })
      assert.deepEqual(trial.result, { type: 'bound', waitedMs: 1_150 })
      assert.deepEqual(trial.attemptsAtMs, [0, 50, 150, 350, 550, 750, 950, 1_150])
      assert.equal(trial.failures.length, 7)
      assert.deepEqual(trial.failures.at(-1), { code, waitedMs: 950 })
    })

  it('makes the last attempt at the deadline', async () => {
    const { result, attemptsAtMs } = await bind({
      codeAt: () => 'EADDRINUSE',
      deadlineMs: 500,
    })
    assert.deepEqual(result, { type: 'failed', waitedMs: 500, code: 'EADDRINUSE' })
    assert.deepEqual(attemptsAtMs, [0, 50, 150, 350, 500])
  })

  it('makes one attempt if the deadline has passed', async () => {
    const free = await bind({ codeAt: takenUntil(0), deadlineMs: -1 })
    assert.equal(free.result.type, 'bound')
    const taken = await bind({ codeAt: takenUntil(1), deadlineMs: -1 })
    assert.equal(taken.result.type, 'failed')
    assert.deepEqual(taken.attemptsAtMs, [0])
  })

  it('gives up at once after an error that stays', async () => {
    const { result, failures } = await bind({ codeAt: () => 'EACCES' })
    assert.deepEqual(result, { type: 'failed', waitedMs: 0, code: 'EACCES' })
    assert.deepEqual(failures, [])
  })

  it('goes on for as long as the process lives without a deadline', async () => {
    const dayMs = 86_400_000
    const { result, attemptsAtMs } = await bind({
      codeAt: takenUntil(dayMs, 'EMFILE'),
      deadlineMs: Number.POSITIVE_INFINITY,
      maxPauseMs: 5_000,
      mayRetry: () => true,
    })
    assert.equal(result.type, 'bound')
    assert.ok(result.waitedMs >= dayMs && result.waitedMs < dayMs + 5_000)
    assert.ok(attemptsAtMs.length < dayMs / 5_000 + 10)
  })

  it('makes no further attempt once it is stopped', async () => {
    const { result, attemptsAtMs } = await bind({
      codeAt: () => 'EADDRINUSE',
      stopAtMs: 220,
    })
    assert.deepEqual(result, { type: 'stopped', waitedMs: 220 })
    assert.deepEqual(attemptsAtMs, [0, 50, 150])
  })

  it('handles errors without a code and attempts that throw', async () => {
    const result = await bindWithRetry({
      clock: () => 0,
      sleep: () => Promise.resolve(),
      bind: () => {
        throw new Error('odd')
      },
      deadlineMs: 0,
      maxPauseMs: 200,
      onFailedAttempt: () => undefined,
      isStopped: () => false,
    })
    assert.deepEqual(result, { type: 'failed', waitedMs: 0, code: 'Error: odd' })
  })
})
