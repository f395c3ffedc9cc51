import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { BackendServer } from '../../model/backendServer.js'
import {
  dial,
  type DialOptions,
  type DialResult,
  type DirectResult,
  type PendingConnection,
  type RelayFailure,
  type RelayResult,
} from '../dial.js'
import type { PathFailure, PathFinding, PathPlan } from '../pathTable.js'
import { selectRelay, type RelayCandidate } from '../selectRelay.js'

const SERVER: BackendServer = {
  id: 's1',
  startedAtMs: 1,
  service: 'plain',
  host: '10.0.0.1',
  port: 80,
  zone: 'z1',
  version: 'v1',
  slots: 6,
  isDraining: false,
}

/** When a connection is established or fails; never if the time is infinite. */
interface Outcome<F> {
  readonly afterMs: number
  readonly failure?: F
}

const NEVER: Outcome<never> = { afterMs: Number.POSITIVE_INFINITY }

interface World {
  readonly plan?: PathPlan
  readonly directFailure?: PathFailure
  readonly direct: Outcome<PathFailure>
  /** Outcomes of relays, by name; the first two characters are the zone. */
  readonly relays: Readonly<Record<string, Outcome<RelayFailure>>>
}

interface Played {
  readonly result: DialResult<string>
  /** When the result was known, in virtual milliseconds. */
  readonly atMs: number
  readonly findings: readonly PathFinding[]
  readonly askedRelays: readonly string[]
  readonly discarded: readonly string[]
  readonly isDirectRecorded: boolean
}

/** Plays one dial in virtual time to its end, late connections included. */
async function play({
  plan = 'direct',
  directFailure,
  direct,
  relays,
}: World): Promise<Played> {
  let nowMs = 0
  let timers: { atMs: number; action: () => void }[] = []
  const after = (ms: number, action: () => void): (() => void) => {
    const timer = { atMs: nowMs + ms, action }
    if (Number.isFinite(ms)) timers.push(timer)
    return () => {
      timers = timers.filter((other) => other !== timer)
    }
  }
  const pend = <R>(outcome: Outcome<unknown>, value: R) => {
    let cancel = (): void => undefined
    const result = new Promise<R>((resolve) => {
      cancel = after(outcome.afterMs, () => {
        resolve(value)
      })
    })
    return {
      result,
      cancel: () => {
        cancel()
      },
    }
  }
  const findings: PathFinding[] = []
  const askedRelays: string[] = []
  const discarded: string[] = []
  let isDirectRecorded = false
  const candidates: RelayCandidate[] = Object.keys(relays).map((name) => ({
    address: { name, host: name, port: 1 },
    zone: name.slice(0, 2),
    linkMbps: 100,
  }))
  const opts: DialOptions<string> = {
    server: SERVER,
    plan,
    directFailure,
    ownZone: 'z1',
    isAlone: candidates.length === 0,
    connect: () =>
      pend<DirectResult<string>>(
        direct,
        direct.failure === undefined
          ? { type: 'connected', connection: 'direct' }
          : { type: 'failed', failure: direct.failure },
      ),
    connectThrough: ({ address: { name } }) => {
      askedRelays.push(name)
      const outcome = relays[name] ?? NEVER
      return pend<RelayResult<string>>(
        outcome,
        outcome.failure === undefined
          ? { type: 'connected', connection: name }
          : { type: 'failed', failure: outcome.failure },
      )
    },
    nextRelay: (history) => selectRelay(candidates, 'z1', history, () => 0),
    discard: (connection) => discarded.push(connection),
    after,
    onSlow: () => undefined,
    onDirect: () => {
      isDirectRecorded = true
    },
    onLost: (finding) => findings.push(finding),
  }
  let atMs = Number.NaN
  let result: DialResult<string> | undefined
  void dial(opts).then((dialled) => {
    result = dialled
    atMs = nowMs
  })
  for (;;) {
    await new Promise(setImmediate)
    const next = timers.toSorted((a, b) => a.atMs - b.atMs)[0]
    if (!next) break
    timers = timers.filter((timer) => timer !== next)
    nowMs = next.atMs
    next.action()
  }
  assert.ok(result, 'the dial never ended')
  return { result, atMs, findings, askedRelays, discarded, isDirectRecorded }
}

function relayOf({ result }: Played): string | undefined {
  return result.type === 'connected' ? (result.relay ?? 'direct') : undefined
}

const SOUND = { afterMs: 5 }

describe('dial', () => {
  it('uses the direct path and asks nobody while that works', async () => {
    const played = await play({ direct: SOUND, relays: { 'z1-a': SOUND } })
    assert.equal(relayOf(played), 'direct')
    assert.deepEqual(played.askedRelays, [])
    assert.ok(played.isDirectRecorded)
  })

  it('is saved by a relay of the own zone at once if the direct path is refused', async () => {
    const direct = { afterMs: 2, failure: 'refused' } as const
    const played = await play({ direct, relays: { 'z2-b': SOUND, 'z1-a': SOUND } })
    assert.equal(relayOf(played), 'z1-a')
    assert.ok(played.atMs <= 10)
    assert.deepEqual(played.findings, [
      { state: 'relayed', failure: 'refused', relay: 'z1-a' },
    ])
  })

  it('is saved within 100 ms if the direct path brings no response', async () => {
    const played = await play({ direct: NEVER, relays: { 'z1-a': SOUND } })
    assert.equal(relayOf(played), 'z1-a')
    assert.ok(played.atMs < 100)
    assert.deepEqual(played.findings, [
      { state: 'relayed', failure: 'no_response', relay: 'z1-a' },
    ])
  })

  it('takes a slow path for slow, not for lost, and closes the later connection', async () => {
    const played = await play({ direct: { afterMs: 120 }, relays: { 'z1-a': SOUND } })
    assert.equal(relayOf(played), 'z1-a')
    assert.deepEqual(played.findings, [])
    assert.deepEqual(played.discarded, ['direct'])
    assert.ok(played.isDirectRecorded)
  })

  it('goes to another zone if the own zone has no path either', async () => {
    const relays = { 'z1-a': NEVER, 'z1-b': NEVER, 'z2-c': SOUND }
    const played = await play({ direct: NEVER, relays })
    assert.equal(relayOf(played), 'z2-c')
    assert.ok(played.atMs < 200)
  })

  it('goes on to the next relay while those asked are without a path or busy', async () => {
    const unavailable = { afterMs: 2, failure: 'unavailable' } as const
    const relays = { 'z1-a': unavailable, 'z2-b': unavailable, 'z2-c': SOUND }
    const played = await play({ direct: { afterMs: 2, failure: 'reset' }, relays })
    assert.equal(relayOf(played), 'z2-c')
  })

  it('gives a server up that two zones fail to reach, without asking everybody', async () => {
    const refused = { afterMs: 2, failure: 'refused' } as const
    const relays = Object.fromEntries(
      ['z1-a', 'z1-b', 'z2-c', 'z2-d', 'z3-e'].map((name) => [name, refused]),
    )
    const played = await play({ direct: refused, relays })
    assert.deepEqual(played.askedRelays, ['z1-a', 'z2-c'])
    assert.ok(played.result.type === 'failed')
    assert.ok(played.result.isRefused)
    assert.ok(played.result.isConfirmed)
    assert.equal(played.findings[0]?.state, 'unreachable')
  })

  it('does not call a server ended or failed on its own word', async () => {
    const direct = { afterMs: 2, failure: 'refused' } as const
    const unavailable = { afterMs: 2, failure: 'unavailable' } as const
    const played = await play({ direct, relays: { 'z1-a': unavailable } })
    assert.ok(played.result.type === 'failed')
    assert.equal(played.result.isRefused, false)
    assert.equal(played.result.isConfirmed, false)
  })

  it('believes its own view if it is alone', async () => {
    const played = await play({ direct: { afterMs: 2, failure: 'refused' }, relays: {} })
    assert.ok(played.result.type === 'failed')
    assert.ok(played.result.isRefused)
    assert.ok(played.result.isConfirmed)
  })

  it('leaves the direct path alone while that is known to be lost', async () => {
    const played = await play({ plan: 'relay', direct: SOUND, relays: { 'z1-a': SOUND } })
    assert.equal(relayOf(played), 'z1-a')
    assert.equal(played.isDirectRecorded, false)
  })

  it('asks relays only for a direct path that has just failed, and records both findings', async () => {
    const played = await play({
      plan: 'relay',
      directFailure: 'reset',
      direct: SOUND,
      relays: { 'z1-a': SOUND },
    })
    assert.equal(relayOf(played), 'z1-a')
    assert.deepEqual(played.findings, [
      { state: 'relayed', failure: 'reset', relay: 'z1-a' },
    ])
  })

  it('fails at once if nobody reached the server a moment ago', async () => {
    const played = await play({ plan: 'none', direct: SOUND, relays: { 'z1-a': SOUND } })
    assert.equal(played.result.type, 'failed')
    assert.equal(played.atMs, 0)
    assert.deepEqual(played.askedRelays, [])
  })

  it('ends within half a second, whatever hangs', async () => {
    const relays = { 'z1-a': NEVER, 'z2-b': NEVER, 'z3-c': NEVER, 'z4-d': NEVER }
    const played = await play({ direct: NEVER, relays })
    assert.equal(played.result.type, 'failed')
    assert.ok(played.atMs <= 500)
  })
})

describe('a dial whose parts throw', () => {
  const throwing = (): never => {
    throw new Error('odd')
  }
  const cancel = (): void => undefined
  const relay: RelayCandidate = {
    address: { name: 'n2', host: 'n2', port: 1 },
    zone: 'z2',
    linkMbps: 100,
  }
  const refused: DirectResult<string> = { type: 'failed', failure: 'refused' }
  const options: DialOptions<string> = {
    server: SERVER,
    plan: 'direct',
    ownZone: 'z1',
    isAlone: false,
    connect: () => ({ result: Promise.resolve(refused), cancel }),
    connectThrough: throwing,
    nextRelay: ({ tried }) => (tried.size === 0 ? relay : undefined),
    discard: () => undefined,
    after: (ms, action) => {
      const timer = setTimeout(action, ms / 10)
      return () => {
        clearTimeout(timer)
      }
    },
    onSlow: () => undefined,
    onDirect: () => undefined,
    onLost: () => undefined,
  }
  /** A connection that is never there. */
  const pending = { result: new Promise<never>(() => undefined), cancel }

  // Guards against: the process ends for a connection that can't even be tried.
  it('fails if a connection throws, at once, in a timer or behind a promise', async () => {
    const results = await Promise.all([
      dial({ ...options, connect: throwing }),
      dial(options),
      dial({ ...options, connect: () => pending }),
      dial({ ...options, plan: 'relay' }),
      dial({
        ...options,
        connectThrough: () => ({ result: Promise.reject(new Error('odd')), cancel }),
      }),
    ])
    assert.deepEqual(
      results.map(({ type }) => type),
      results.map(() => 'failed'),
    )
  })

  it('rejects if a decision throws, and discards its connection', async () => {
    const discarded: string[] = []
    const discard = (connection: string): void => void discarded.push(connection)
    await assert.rejects(dial({ ...options, nextRelay: throwing }), /odd/)
    await assert.rejects(dial({ ...options, onLost: throwing }), /odd/)
    const connected = Promise.resolve({ type: 'connected', connection: 'c' } as const)
    const connect = (): PendingConnection<DirectResult<string>> => ({
      result: connected,
      cancel,
    })
    await assert.rejects(
      dial({ ...options, connect, discard, onDirect: throwing }),
      /odd/,
    )
    assert.deepEqual(discarded, ['c'])
    const slow = { ...options, connect: () => pending, onSlow: throwing }
    await assert.rejects(dial(slow), /odd/)
  })
})
