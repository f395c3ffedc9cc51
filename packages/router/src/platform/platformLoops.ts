/** Periodic calls to the platform for the configuration, the instance list and billing records. */
import { CONFIG_OBJECT, Ticker, type ExchangeNode } from '@wagtailway/core'
import type { Instance, PlatformClient } from '@wagtailway/platform'
import type { RouterNode } from '../routerNode.js'

/**
 * Maximum wait of one watch call, in milliseconds. The response proves the state as of the time
 * at which the call was sent, so after a full wait the proof is already this old.
 */
const WATCH_WAIT_MS = 1_000

/** Pause between two checks whether to read the configuration, in milliseconds. */
const WATCH_PAUSE_MS = 100

/** Flushes of billing records per second that all instances together may make. */
const FLEET_FLUSHES_PER_SECOND = 86

const MS_PER_SECOND = 1_000

export interface PlatformLoopOptions {
  readonly node: RouterNode
  readonly exchange: ExchangeNode<Instance>
  readonly platform: PlatformClient
  /** Called whenever the configuration or the instance list has changed. */
  readonly onChange: () => void
}

/**
 * Runs the platform loops of one router.
 *
 * @example
 * const loops = PlatformLoops.create({ node, exchange, platform, onChange })
 * await loops.close()
 */
export class PlatformLoops {
  readonly #tickers: readonly Ticker[]

  private constructor(opts: PlatformLoopOptions) {
    const { cfg, log } = opts.node
    const onError = (err: unknown): void => {
      log.error('a platform loop failed', err)
    }
    this.#tickers = [
      Ticker.create({
        intervalMs: WATCH_PAUSE_MS,
        step: () => watchConfig(opts),
        onError,
      }),
      Ticker.create({
        intervalMs: cfg.instancePollMs,
        step: () => pollInstances(opts),
        onError,
      }),
      Ticker.create({ intervalMs: cfg.flushMs, step: createPacedFlush(opts), onError }),
    ]
  }

  static create(opts: PlatformLoopOptions): PlatformLoops {
    return new PlatformLoops(opts)
  }

  async close(): Promise<void> {
    await Promise.all(this.#tickers.map((ticker) => ticker.close()))
  }
}

/**
 * Reads the configuration from the platform when that is due. The watcher of a zone waits for a
 * newer revision; other nodes read without waiting, and only if the freshness proof that they
 * received from peers has become too old.
 */
async function watchConfig(opts: PlatformLoopOptions): Promise<void> {
  const { node, exchange, platform } = opts
  if (!exchange.isConfigPollDue) return
  const sentAtMs = node.clock()
  const { revision } = exchange.config
  const waitMs = revision > 0 && exchange.isWatcher ? WATCH_WAIT_MS : 0
  const watched = await platform.watch('config', revision, waitMs)
  if (watched.err) {
    exchange.recordConfigPollFailure()
    return
  }
  const storedConfig = watched.val.objects.find(({ name }) => name === CONFIG_OBJECT)
  // The platform read its state no earlier than when the call was sent.
  const ageMs = node.clock() - sentAtMs
  if (exchange.applyConfigPoll(storedConfig, ageMs, revision)) opts.onChange()
}

async function pollInstances(opts: PlatformLoopOptions): Promise<void> {
  const { node, exchange, platform } = opts
  if (!exchange.isListPollDue) return
  const sentAtMs = node.clock()
  const listed = await platform.instances()
  if (listed.err) {
    exchange.recordListPollFailure()
    return
  }
  if (exchange.applyListPoll(listed.val, node.clock() - sentAtMs)) opts.onChange()
}

/** Creates a step that limits the flushes of all instances together to the platform's budget. */
function createPacedFlush({ node }: PlatformLoopOptions): () => Promise<void> {
  let lastFlushMs = Number.NEGATIVE_INFINITY
  return async () => {
    const instances = node.members.alive().length + 1
    const minIntervalMs = (instances / FLEET_FLUSHES_PER_SECOND) * MS_PER_SECOND
    if (node.clock() - lastFlushMs < minIntervalMs) return
    lastFlushMs = node.clock()
    await flushLedger({ node })
  }
}

/** Stores pending billing records and updates their gauge. */
export async function flushLedger({
  node,
}: Pick<PlatformLoopOptions, 'node'>): Promise<void> {
  await node.ledger.flush()
  node.metrics.ledgerPending.set(node.ledger.pendingCount)
}
