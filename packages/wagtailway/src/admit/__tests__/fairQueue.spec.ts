import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { FairQueue, type QueueItem } from '../fairQueue.js'

function item(workspace: string, share: number, priority = 5): QueueItem {
  return { workspace, share, priority }
}

function serve(
  queue: FairQueue<QueueItem>,
  clock: VirtualClock,
  count: number,
): string[] {
  return Array.from({ length: count }, () => {
    clock.advance(100)
    return queue.shift()?.workspace ?? ''
  })
}

describe('FairQueue', () => {
  it('serves workspaces in proportion to their shares, whatever their demand', () => {
    const clock = VirtualClock.create()
    const queue = FairQueue.create<QueueItem>({ clock: clock.now })
    for (let i = 0; i < 900; i++) queue.push(item('big', 1))
    for (let i = 0; i < 300; i++) queue.push(item('fair', 2))
    const served = serve(queue, clock, 300)
    const fairCount = served.filter((workspace) => workspace === 'fair').length
    assert.ok(fairCount >= 0.9 * 200 && fairCount <= 1.1 * 200, `${fairCount} of 300`)
  })

  it('serves a higher priority first within a workspace', () => {
    const queue = FairQueue.create<QueueItem>({ clock: () => 0 })
    queue.push(item('a', 1, 1))
    queue.push(item('a', 1, 9))
    assert.equal(queue.shift()?.priority, 9)
  })

  it('gives a workspace no credit for its idle time', () => {
    const clock = VirtualClock.create()
    const queue = FairQueue.create<QueueItem>({ clock: clock.now })
    for (let i = 0; i < 400; i++) queue.push(item('old', 1))
    serve(queue, clock, 300)
    for (let i = 0; i < 50; i++) queue.push(item('new', 1))
    const first = serve(queue, clock, 20)
    assert.ok(first.filter((workspace) => workspace === 'new').length <= 12, first.join())
  })

  it('estimates the number of items ahead of an item', () => {
    const queue = FairQueue.create<QueueItem>({ clock: () => 0 })
    for (let i = 0; i < 4; i++) queue.push(item('a', 1, 5))
    assert.equal(queue.itemsAhead(item('a', 1, 5)), 4)
    assert.equal(queue.itemsAhead(item('a', 1, 9)), 0)
  })
})
