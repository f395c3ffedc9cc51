/** The memory of a process, by what it is for. */
import { getHeapStatistics } from 'node:v8'
import type { Clock } from '@wagtailway/core'
import { ClientLimits } from './clientLimits.js'
import { MemoryShare } from './memoryShare.js'

/**
 * Memory that the process needs apart from bodies and answers, in bytes: the runtime, the
 * program, lists of servers and routes, and log lines.
 */
const PROCESS_BYTES = 134_217_728

/**
 * Shares of the rest for request bodies and for buffered answers. What is left is for bytes
 * in sockets, and for released buffers until the runtime collects them.
 */
const BODY_RATIO = 0.25
const ANSWER_RATIO = 0.25

/** Minimum size of a share, in bytes: a body of the usual maximum size must find room. */
const MIN_SHARE_BYTES = 8_388_608

/**
 * Owner of the memory that grows with what others send. Of the limit, 128 MB are for the
 * process itself; request bodies and buffered answers get a quarter of the rest each, 8 MB at
 * least; the other half is for sockets and uncollected buffers. Within a share, a workspace
 * gets what `MemoryShare` says.
 *
 * | limit  | request bodies | buffered answers |
 * | ------ | -------------- | ---------------- |
 * | 178 MB | 12.5 MB        | 12.5 MB          |
 * | 350 MB | 55.5 MB        | 55.5 MB          |
 *
 * @example
 * const memory = MemoryBudget.create(350 * 1_048_576, clock)
 * const hold = memory.bodies.open({ workspace: 'team', priority: 1 })
 */
export class MemoryBudget {
  /** For request bodies, from their first byte to the end of their request. */
  readonly bodies: MemoryShare
  /** For answers that are buffered, until the caller has read them. */
  readonly answers: MemoryShare
  /** For the process itself. */
  readonly processBytes = PROCESS_BYTES

  private constructor(
    readonly limitBytes: number,
    clock: Clock,
    /** For heads of requests and connections. */
    readonly clients: ClientLimits,
  ) {
    const restBytes = limitBytes - PROCESS_BYTES
    this.bodies = MemoryShare.create(shareBytes(restBytes * BODY_RATIO), clock)
    this.answers = MemoryShare.create(shareBytes(restBytes * ANSWER_RATIO), clock)
  }

  /**
   * @param limitBytes Memory above which the process is killed, in bytes.
   * @param fileLimit Limit of its open descriptors, if it is known.
   * @param heapBytes Largest heap of the process, in bytes.
   */
  static create(
    limitBytes: number,
    clock: Clock,
    fileLimit?: number,
    heapBytes = getHeapStatistics().heap_size_limit,
  ): MemoryBudget {
    const clients = ClientLimits.create({ memoryBytes: limitBytes, heapBytes, fileLimit })
    return new MemoryBudget(limitBytes, clock, clients)
  }

  /** Sizes of all parts and what is held of them, in bytes. */
  describe(): Readonly<Record<string, number>> {
    const { limitBytes, processBytes, bodies, answers, clients } = this
    return {
      limit: limitBytes,
      process: processBytes,
      bodies: bodies.maxBytes,
      bodies_held: bodies.heldBytes,
      answers: answers.maxBytes,
      answers_held: answers.heldBytes,
      heads: clients.maxHeadsBytes,
      heads_held: clients.headsBytes,
    }
  }

  /** Ends transfers that stand still where memory is short; see `MemoryShare`. */
  endStalled(): void {
    this.bodies.endStalled()
    this.answers.endStalled()
  }
}

function shareBytes(bytes: number): number {
  return Math.max(MIN_SHARE_BYTES, Math.floor(bytes))
}
