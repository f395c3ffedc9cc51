import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { EXPIRY_GRACE_MS, ServerTable } from '../serverTable.js'

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
    isDraining: false,
    ...changes,
  }
}

function setUp() {
  const clock = VirtualClock.create()
  const removedIds: string[] = []
  const table = ServerTable.create(clock.now, ({ id }) => removedIds.push(id))
  table.replaceAll([server('a'), server('b')])
  const ready = (): string[] => table.ready('plain').map(({ id }) => id)
  return { clock, removedIds, table, ready }
}

describe('ServerTable', () => {
  it('removes the server of a deleted or invalid entry at once', () => {
    const { table, ready, removedIds } = setUp()
    table.apply([{ id: 'a', server: undefined }])
    assert.deepEqual(ready(), ['b'])
    assert.deepEqual(removedIds, ['a'])
  })

  it('does not offer a draining server for new requests', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: server('a', { isDraining: true }) }])
    assert.deepEqual(ready(), ['b'])
  })

  it('keeps entries that expired in an outage until the live servers have registered again', () => {
    const { table, ready, clock } = setUp()
    table.startExpiryGrace()
    table.apply([
      { id: 'a', server: undefined },
      { id: 'b', server: undefined },
    ])
    assert.deepEqual(ready(), ['a', 'b'])
    table.apply([{ id: 'b', server: server('b') }])
    clock.advance(EXPIRY_GRACE_MS)
    assert.deepEqual(ready(), ['b'])
  })

  it('does not keep an expired entry of a draining server', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: server('a', { isDraining: true }) }])
    table.startExpiryGrace()
    table.apply([{ id: 'a', server: undefined }])
    assert.deepEqual(ready(), ['b'])
    assert.equal(table.get('a'), undefined)
  })

  it('reports the removal of a server that has restarted under the same id', () => {
    const { table, removedIds } = setUp()
    table.apply([{ id: 'a', server: server('a', { startedAtMs: 2 }) }])
    assert.deepEqual(removedIds, ['a'])
  })
})

describe('ServerTable after a restore of the store', () => {
  it('keeps a draining server draining until its entry changes again', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: server('a', { isDraining: true }) }])
    table.applyRestored([{ id: 'a', server: server('a') }])
    assert.deepEqual(ready(), ['b'])
    table.apply([{ id: 'a', server: server('a') }])
    assert.deepEqual(ready(), ['a', 'b'])
  })

  it('holds a server that had been removed until its entry would have expired', () => {
    const { table, ready, clock } = setUp()
    table.apply([{ id: 'a', server: undefined }])
    clock.advance(20_000)
    table.applyRestored([{ id: 'a', server: server('a') }])
    assert.deepEqual(ready(), ['b'])
    clock.advance(5_000)
    assert.deepEqual(ready(), ['b', 'a'])
  })

  it('uses a removed server at once if it has started again', () => {
    const { table, ready } = setUp()
    table.apply([{ id: 'a', server: undefined }])
    table.applyRestored([{ id: 'a', server: server('a', { startedAtMs: 2 }) }])
    assert.deepEqual(ready(), ['b', 'a'])
  })

  it('keeps a server that the store lacks while it can register again', () => {
    const { table, ready, clock } = setUp()
    const older = server('b')
    table.apply([{ id: 'b', server: server('b', { startedAtMs: 2 }) }])
    table.applyRestored([
      { id: 'a', server: undefined },
      { id: 'b', server: older },
    ])
    assert.deepEqual(ready(), ['a', 'b'])
    clock.advance(EXPIRY_GRACE_MS)
    assert.deepEqual(ready(), [])
  })
})
