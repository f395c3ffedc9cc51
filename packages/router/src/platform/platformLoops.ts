/** Periodic exchange with the platform: configuration, instances, billing records. */
import { CONFIG_OBJECT, Ticker, type ExchangeNode } from '@wagtailway/core'
import type { Instance, PlatformClient } from '@wagtailway/platform'
import type { RouterNode } from '../routerNode.js'

/** Longest wait of one watch, in milliseconds; a proof is at least as old when it comes. */
const WATCH_WAIT_MS = 1_000

/** Pause between two decisions whether to watch, in milliseconds. */
const WATCH_PAUSE_MS = 100

/** Flushes of billing records that all instances together may make. */
const FLEET_FLUSHES_PER_SECOND = 86

const MS_PER_SECOND = 1_000

export interface PlatformLoopOptions {
  readonly node: RouterNode
  readonly exchange: ExchangeNode<Instance>
  readonly platform: PlatformClient
  /** Called whenever the configuration or the list of instances has changed. */
  readonly onChange: () => void
}

/**
 * The platform's loops of one router.
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
      Ticker.create({ intervalMs: cfg.flushMs, step: flushInTurn(opts), onError }),
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
 * Waits for a newer configuration, if this node watches for its zone or hears
 * too little from the watchers.
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
  const found = watched.val.objects.find(({ name }) => name === CONFIG_OBJECT)
  // The platform looked no earlier than when the call was sent.
  const ageMs = node.clock() - sentAtMs
  if (exchange.applyConfigPoll(found, ageMs, revision)) opts.onChange()
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

/** Flushes seldom enough that all instances together keep to the platform's budget. */
function flushInTurn({ node }: PlatformLoopOptions): () => Promise<void> {
  let lastMs = Number.NEGATIVE_INFINITY
  return async () => {
    const instances = node.members.alive().length + 1
    const pauseMs = (instances / FLEET_FLUSHES_PER_SECOND) * MS_PER_SECOND
    if (node.clock() - lastMs < pauseMs) return
    lastMs = node.clock()
    await flushLedger({ node })
  }
}

/** Stores pending billing records. */
export async function flushLedger({
  node,
}: Pick<PlatformLoopOptions, 'node'>): Promise<void> {
  await node.ledger.flush()
  node.metrics.ledgerPending.set(node.ledger.pendingCount)
}
