import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LineWriter } from '../lineWriter.js'

/** An output whose next writes have given results: a number of bytes, or an error code. */
class ScriptedOutput {
  text = ''
  results: (number | string)[] = []
  dropped = 0
  /** Actions of timers that have not run. */
  readonly timers: { readonly ms: number; readonly action: () => void }[] = []

  readonly writer = LineWriter.create({
    write: (bytes) => this.#write(bytes),
    startTimer: (ms, action) => {
      const timer = { ms, action }
      this.timers.push(timer)
      return () => {
        this.timers.splice(this.timers.indexOf(timer), 1)
      }
    },
    onDropped: () => (this.dropped += 1),
  })

  /** Lets writes that were started end. */
  async settle(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve))
  }

  /** Runs the timer that was started last. */
  async runTimer(): Promise<void> {
    const timer = this.timers.pop()
    assert.ok(timer)
    timer.action()
    await this.settle()
  }

  async #write(bytes: Buffer): Promise<number> {
    const result = this.results.shift() ?? bytes.length
    if (typeof result === 'string')
      throw Object.assign(new Error(result), { code: result })
    this.text += bytes.subarray(0, result).toString()
    return Promise.resolve(result)
  }
}

describe('LineWriter', () => {
  it('finishes a line that was written in part before any other', async () => {
    const output = new ScriptedOutput()
    output.results = [2, 'EAGAIN', 1]
    output.writer.add('first')
    output.writer.add('second')
    await output.settle()
    assert.equal(output.text, 'fi')
    await output.runTimer()
    assert.equal(output.text, 'first\nsecond\n')
  })

  it('drops lines while nothing can be written, and tells how many and why', async () => {
    const output = new ScriptedOutput()
    output.results = Array.from({ length: 5 }, () => 'EPIPE')
    const line = 'x'.repeat(999)
    for (let i = 0; i < 300; i += 1) output.writer.add(line)
    await output.settle()
    assert.ok(output.writer.isBlocked)
    for (let i = 0; i < 4; i += 1) await output.runTimer()
    assert.equal(output.text, '')
    assert.ok(output.dropped > 0)
    await output.runTimer()
    assert.equal(output.text, `${line}\n`.repeat(300 - output.dropped))
    assert.equal(output.writer.isBlocked, false)
    assert.deepEqual(output.writer.takeGap(), { dropped: output.dropped, err: 'EPIPE' })
    assert.deepEqual(output.writer.takeGap(), { dropped: 0, err: undefined })
  })

  it('tries less and less often, and forgets an error that cost no line', async () => {
    const output = new ScriptedOutput()
    output.results = ['EAGAIN', 'EAGAIN', 'EAGAIN']
    output.writer.add('line')
    await output.settle()
    const pausesMs: number[] = []
    while (output.timers.length > 0) {
      pausesMs.push(output.timers.at(-1)?.ms ?? 0)
      await output.runTimer()
    }
    assert.deepEqual(pausesMs, [20, 40, 80])
    assert.deepEqual(output.writer.takeGap(), { dropped: 0, err: undefined })
  })

  it('tries the last lines when it is closed, without waiting for the next try', async () => {
    const output = new ScriptedOutput()
    output.results = ['EAGAIN']
    output.writer.add('last')
    await output.settle()
    assert.equal(await output.writer.close(200), true)
    assert.equal(output.text, 'last\n')
    assert.deepEqual(output.timers, [])
  })

  it('gives up the last lines after the time-out', async () => {
    const output = new ScriptedOutput()
    output.results = Array.from({ length: 20 }, () => 'EAGAIN')
    output.writer.add('last')
    const closed = output.writer.close(200)
    await output.settle()
    const timeout = output.timers.find(({ ms }) => ms === 200)
    assert.ok(timeout)
    timeout.action()
    assert.equal(await closed, false)
    assert.equal(output.writer.add('later'), false)
  })
})
