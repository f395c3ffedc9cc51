import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { LAPSE_GRACE_MS, ServerTable } from '../serverTable.js'

function server(id: string, changes: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    startedAtMs: 1,
    service: 'plain',
    host: '10.0.0.1',
    port: 80,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isLeaving: false,
    ...changes,
  }
}

function setUp() {
  const clock = VirtualClock.create()
  const gone: string[] = []
  const table = ServerTable.create(clock.now, ({ id }) => gone.push(id))
  table.replaceAll([server('a'), server('b')])
  const ready = (): string[] => table.ready('plain').map(({ id }) => id)
  return { clock, gone, table, ready }
}

describe('ServerTable', () => {
  it('drops a removed or unreadable entry at once', () => {
    const { table, ready, gone } = setUp()
    table.apply([{ id: 'a', server: undefined }])
    assert.deepEqual(ready(), ['b'])
    assert.deepEqual(gone, ['a'])
  })

  it('gives nothing new to a leaving server', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: server('a', { isLeaving: true }) }])
    assert.deepEqual(ready(), ['b'])
  })

  it('keeps entries that lapsed in an outage until the living ones are back', () => {
    const { table, ready, clock } = setUp()
    table.listReturned()
    table.apply([
      { id: 'a', server: undefined },
      { id: 'b', server: undefined },
    ])
    assert.deepEqual(ready(), ['a', 'b'])
    table.apply([{ id: 'b', server: server('b') }])
    clock.advance(LAPSE_GRACE_MS)
    assert.deepEqual(ready(), ['b'])
  })

  it('does not keep a lapsed entry of a server that was leaving', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: server('a', { isLeaving: true }) }])
    table.listReturned()
    table.apply([{ id: 'a', server: undefined }])
    assert.deepEqual(ready(), ['b'])
    assert.equal(table.get('a'), undefined)
  })

  it('forgets what it knew of a server that started again under its id', () => {
    const { table, gone } = setUp()
    table.apply([{ id: 'a', server: server('a', { startedAtMs: 2 }) }])
    assert.deepEqual(gone, ['a'])
  })
})
