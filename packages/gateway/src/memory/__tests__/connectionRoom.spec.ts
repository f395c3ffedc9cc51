import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ConnectionRoom } from '../connectionRoom.js'

let nowMs = 0
let ended: string[] = []
let passedOn: ReadonlySet<string> = new Set()
let room: ConnectionRoom<string>

beforeEach(() => {
  nowMs = 0
  ended = []
  passedOn = new Set()
  room = ConnectionRoom.create({
    clock: () => nowMs,
    maxCount: 3,
    mayEnd: (connection) => !passedOn.has(connection),
    end: (connection) => ended.push(connection),
  })
  for (const connection of ['a', 'b', 'c']) {
    room.tryAdd(connection)
    nowMs += 10
  }
})

// Guards against: connections that send nothing keep out callers, or a request that runs loses
// its connection to a new one.
describe('a room for connections', () => {
  it('ends the one that has been without a whole request for longest', () => {
    nowMs += 1_000
    room.recordUse('a')
    assert.ok(room.tryAdd('d'))
    assert.deepEqual(ended, ['b'])
    assert.equal(room.count, 3)
  })

  it('keeps those whose requests have been passed on', () => {
    passedOn = new Set(['a', 'b', 'c'])
    nowMs += 1_000
    assert.ok(!room.tryAdd('d'))
    passedOn = new Set(['a', 'b'])
    assert.ok(room.tryAdd('d'))
    assert.deepEqual(ended, ['c'])
  })

  it('keeps those that have just been opened', () => {
    assert.ok(!room.tryAdd('d'))
    assert.deepEqual(ended, [])
    room.remove('b')
    assert.ok(room.tryAdd('d'))
  })
})
