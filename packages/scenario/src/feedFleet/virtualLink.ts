/** Transfers over links of limited bandwidth in virtual time. */
import { transferTimeMs } from '@wagtailway/gateway'
import type { VirtualWorld } from '../hunt/virtualWorld.js'

/** Bytes after which transfers over the same link take turns. */
const CHUNK_BYTES = 16_384

/** The link of one machine, the same in both directions; transfers in progress share it. */
export class VirtualLink {
  /** When the link has sent all chunks that were handed to it so far. */
  sendingUntilMs = 0
  /** When the link has received all chunks that were sent to it so far. */
  receivingUntilMs = 0
  sentBytes = 0

  private constructor(readonly mbps: number) {}

  static create(mbps: number): VirtualLink {
    return new VirtualLink(mbps)
  }

  chunkMs(bytes: number): number {
    return transferTimeMs(bytes, this.mbps)
  }
}

export interface Transfer {
  readonly world: VirtualWorld
  readonly from: VirtualLink
  readonly to: VirtualLink
  readonly bytes: number
  /** Time that each chunk is under way, in milliseconds. */
  readonly delayMs: number
  /** Called for each chunk that arrives; returns false to stop the transfer. */
  readonly onChunk: () => boolean
  readonly onComplete: () => void
}

/**
 * Starts a transfer. Each chunk waits until both links are free, so transfers over one
 * link share its bandwidth.
 *
 * @example
 * startTransfer({ world, from, to, bytes: 490_000, delayMs: 1.4, onChunk, onComplete })
 */
export function startTransfer(transfer: Transfer): void {
  sendChunk(transfer, transfer.bytes)
}

function sendChunk(transfer: Transfer, remainingBytes: number): void {
  const { world, from, to, delayMs, onChunk, onComplete } = transfer
  const bytes = Math.min(CHUNK_BYTES, remainingBytes)
  const startMs = Math.max(world.nowMs, from.sendingUntilMs, to.receivingUntilMs)
  from.sendingUntilMs = startMs + from.chunkMs(bytes)
  to.receivingUntilMs = startMs + to.chunkMs(bytes)
  from.sentBytes += bytes
  const receivedAtMs = Math.max(from.sendingUntilMs, to.receivingUntilMs)
  world.after(receivedAtMs - world.nowMs, () => {
    const leftBytes = remainingBytes - bytes
    if (leftBytes > 0) {
      if (onChunk()) sendChunk(transfer, leftBytes)
      return
    }
    world.after(delayMs, onComplete)
  })
}
