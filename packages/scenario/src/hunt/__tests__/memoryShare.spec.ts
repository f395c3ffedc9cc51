import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemoryShare, type MemoryHold, type MemoryHolder } from '@wagtailway/gateway'
import { VirtualWorld } from '../virtualWorld.js'

const MB = 1_048_576
const SHARE_BYTES = 12.5 * MB
const MAX_BODY_BYTES = 4 * MB
const MIN_BODY_BYTES = 1_000
const BLOCK_BYTES = 65_536

const SEEDS = 60
const LOAD_MS = 40_000
const SWEEP_MS = 250

/** Time after which a request that returns as it is told must have had its memory. */
const MAX_WAIT_MS = 15_000

/** Share of transfers that stand still for ever, unless they are ended. */
const STALL_RATIO = 0.05

interface Play {
  readonly world: VirtualWorld
  readonly share: MemoryShare
  /** Holds that are open, to compare with the share's sum. */
  readonly open: Set<MemoryHold>
  /** Times until requests beside those of `loud` had their memory, in milliseconds. */
  readonly waitsMs: number[]
  endedCount: number
}

function sleep({ world }: Play, ms: number): Promise<void> {
  return new Promise((resolve) => world.after(ms, resolve))
}

/** Reserves a body at once, or in blocks as it comes; returns whether there was memory. */
async function reserve(play: Play, hold: MemoryHold, bytes: number): Promise<boolean> {
  if (play.world.random() < 0.5) return hold.tryReserve(bytes)
  for (let reserved = 0; reserved < bytes; reserved += BLOCK_BYTES) {
    if (!hold.tryReserve(Math.min(BLOCK_BYTES, bytes - reserved))) {
      hold.release(hold.heldBytes)
      return false
    }
    if (play.world.random() < 0.1) await sleep(play, 1)
  }
  return true
}

/** Sends one request until it has had its memory; returns the time that took. */
async function send(play: Play, holder: MemoryHolder, bytes: number): Promise<number> {
  const { world, share, open } = play
  const startedAtMs = world.nowMs
  for (;;) {
    const hold = share.open(holder)
    open.add(hold)
    if (await reserve(play, hold, bytes)) {
      const waitedMs = world.nowMs - startedAtMs
      await use(play, hold)
      open.delete(hold)
      return waitedMs
    }
    const delayMs = share.returnDelayMs(bytes)
    hold.close()
    open.delete(hold)
    await sleep(play, delayMs * (1 + 0.1 * world.random()))
  }
}

/** Holds memory for a while, or until a transfer that stands still is ended. */
async function use(play: Play, hold: MemoryHold): Promise<void> {
  const { world } = play
  if (world.random() >= STALL_RATIO) await sleep(play, 20 + 1_000 * world.random() ** 2)
  else
    await new Promise<void>((resolve) => {
      hold.watch({
        progress: () => 0,
        end: () => {
          play.endedCount += 1
          resolve()
        },
      })
    })
  hold.close()
}

function bodyBytes({ world }: Play): number {
  const exponent = world.random() * Math.log(MAX_BODY_BYTES / MIN_BODY_BYTES)
  return Math.floor(MIN_BODY_BYTES * Math.exp(exponent))
}

async function sendRegularly(
  play: Play,
  holder: MemoryHolder,
  sizeOf: () => number,
): Promise<void> {
  while (play.world.nowMs < LOAD_MS) {
    const waitedMs = await send(play, holder, sizeOf())
    if (holder.workspace !== 'loud') play.waitsMs.push(waitedMs)
    await sleep(play, 200 * play.world.random())
  }
}

async function playSeed(seed: number): Promise<Play> {
  const world = VirtualWorld.create(seed)
  const share = MemoryShare.create(SHARE_BYTES, () => world.nowMs)
  const play: Play = { world, share, open: new Set(), waitsMs: [], endedCount: 0 }
  const sweep = (): void => {
    share.endStalled()
    world.after(SWEEP_MS, sweep)
  }
  sweep()
  const priority = Math.floor(world.random() * 3)
  const loud = { workspace: 'loud', priority }
  for (let i = 0; i < 60; i += 1)
    world.spawn(sendRegularly(play, loud, () => MAX_BODY_BYTES * world.random()))
  const others = 1 + Math.floor(world.random() * 3)
  for (let i = 0; i < others; i += 1) {
    const other = { workspace: `other-${i}`, priority: 1 }
    const sizeOf = (): number => (i === 0 ? MAX_BODY_BYTES : bodyBytes(play))
    world.spawn(sendRegularly(play, other, sizeOf))
  }
  await world.run(LOAD_MS, () => {
    let heldBytes = 0
    for (const hold of play.open) heldBytes += hold.heldBytes
    assert.ok(share.heldBytes <= SHARE_BYTES, `${share.heldBytes} bytes held`)
    assert.ok(heldBytes <= share.heldBytes, 'a hold is not counted')
  })
  // Whoever waits now, and a late one, must get memory, whatever still stands still.
  world.spawn(
    send(play, { workspace: 'late', priority: 1 }, MAX_BODY_BYTES).then((waitedMs) => {
      play.waitsMs.push(waitedMs)
    }),
  )
  const waitCount = play.waitsMs.length
  await world.run(LOAD_MS + MAX_WAIT_MS)
  assert.ok(play.waitsMs.length > waitCount, 'nobody was served after the load')
  await world.run(LOAD_MS + 60_000)
  let heldBytes = 0
  for (const hold of play.open) heldBytes += hold.heldBytes
  assert.equal(share.heldBytes, heldBytes)
  return play
}

describe('the memory of many workspaces beside one that wants all, in virtual time', () => {
  it('is never passed, starves none and is held by none for ever, with any seed', async () => {
    let endedCount = 0
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const play = await playSeed(seed)
      endedCount += play.endedCount
      const longestMs = Math.max(...play.waitsMs)
      assert.ok(longestMs <= MAX_WAIT_MS, `seed ${seed}: one waited ${longestMs} ms`)
    }
    assert.ok(endedCount > 0)
  })
})
