import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { selectPlacement, type PlacementRequest } from '../selectPlacement.js'
import type { ServerLoad } from '../serverLoad.js'

function serverOf(id: string): BackendServer {
  return {
    id,
    startedAtMs: 0,
    service: 'summariser',
    host: '10.0.0.1',
    port: 1,
    zone: 'z1',
    version: 'v1',
    slots: 64,
    isDraining: false,
  }
}

const SERVERS = ['s1', 's2', 's3', 's4', 's5', 's6'].map(serverOf)

function dossier(
  part: string,
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    affinityKey: `large ${part}`,
    sharedTokens: 13_300,
    uniqueTokens: 3_720,
    prefillMsPerToken: () => 0.05,
    zone: 'z1',
    hasCachedPrefix: () => false,
    ...changes,
  }
}

const IDLE = (): ServerLoad => ({ running: 0, waitingMs: 0 })

describe('choosePlace', () => {
  it('sends equal prompts to one server while it keeps up', () => {
    const random = seededRandom(1)
    const chosen = new Set(
      Array.from(
        { length: 50 },
        () => selectPlacement(SERVERS, dossier('p1'), IDLE, random)?.server.id,
      ),
    )
    assert.equal(chosen.size, 1)
  })

  it('spreads a hot prompt once waiting is three times reading it again', () => {
    const random = seededRandom(2)
    const waiting = new Map<string, number>()
    const load = (id: string): ServerLoad => ({
      running: 0,
      waitingMs: waiting.get(id) ?? 0,
    })
    for (let i = 0; i < 60; i += 1) {
      const place = selectPlacement(SERVERS, dossier('hot'), load, random)
      assert.ok(place)
      const { id } = place.server
      waiting.set(id, load(id).waitingMs + place.prefillMs)
    }
    const times = SERVERS.map(({ id }) => load(id).waitingMs)
    // A server may wait three times as long as reading the part elsewhere takes, and one read.
    const allMs = (13_300 + 3_720) * 0.05
    const homeMs = (13_300 * 0.25 + 3_720) * 0.05
    const boundMs = 3 * (allMs - homeMs) + allMs
    assert.ok(Math.max(...times) - Math.min(...times) < boundMs, times.join(' '))
    assert.ok(Math.min(...times) > 0, times.join(' '))
  })

  it('prefers a server that has read the shared part', () => {
    const req = dossier('p1', { hasCachedPrefix: (id) => id === 's3' })
    assert.equal(selectPlacement(SERVERS, req, IDLE, seededRandom(3))?.server.id, 's3')
  })

  it('moves only the prompts of a server that is gone', () => {
    const random = seededRandom(4)
    const rest = SERVERS.slice(1)
    for (let i = 0; i < 100; i += 1) {
      const before = selectPlacement(SERVERS, dossier(`p${i}`), IDLE, random)?.server.id
      const after = selectPlacement(rest, dossier(`p${i}`), IDLE, random)?.server.id
      if (before !== 's1') assert.equal(after, before)
    }
  })

  it('spreads over many servers what nodes with the same reports send at once', () => {
    const many = Array.from({ length: 42 }, (_, i) => serverOf(`m${i}`))
    const load = (id: string): ServerLoad => ({
      running: 0,
      waitingMs: id === 'm7' ? 0 : 40,
    })
    const chosen = Array.from(
      { length: 75 },
      (_, node) =>
        selectPlacement(many, dossier(`p${node}`), load, seededRandom(node))?.server.id,
    )
    assert.ok(chosen.filter((id) => id === 'm7').length <= 25)
  })

  it('finds no place without servers', () => {
    assert.equal(selectPlacement([], dossier('p1'), IDLE, seededRandom(5)), undefined)
  })
})
