/** Periodic exchange with the platform: configuration, instances, billing records. */
import { Ticker, effectiveSchema, CONFIG_OBJECT } from '@wagtailway/core'
import type { Instance, PlatformClient } from '@wagtailway/platform'
import type { RouterNode } from '../routerNode.js'

/** Longest wait of one watch, in milliseconds. */
const WATCH_WAIT_MS = 3_000

/** Pause after a watch that failed or came back early, in milliseconds. */
const WATCH_PAUSE_MS = 100

export interface PlatformLoopOptions {
  readonly node: RouterNode
  readonly platform: PlatformClient
  /** Receives each list of instances. */
  readonly onInstances: (instances: readonly Instance[]) => void
}

/**
 * The platform's loops of one router.
 *
 * @example
 * const loops = PlatformLoops.create({ node, platform, onInstances })
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
      Ticker.create({ intervalMs: cfg.flushMs, step: () => flushLedger(opts), onError }),
    ]
  }

  static create(opts: PlatformLoopOptions): PlatformLoops {
    return new PlatformLoops(opts)
  }

  async close(): Promise<void> {
    await Promise.all(this.#tickers.map((ticker) => ticker.close()))
  }
}

/** Waits for a newer configuration; an answer without one proves the present one fresh. */
async function watchConfig({ node, platform }: PlatformLoopOptions): Promise<void> {
  const sentAtMs = node.clock()
  const waitMs = node.config.revision === 0 ? 0 : WATCH_WAIT_MS
  const watched = await platform.watch('config', node.config.revision, waitMs)
  if (watched.err) return
  const object = watched.val.objects.find(({ name }) => name === CONFIG_OBJECT)
  if (object) {
    const effective = effectiveSchema.parse(object.value)
    if (node.config.offer(object.revision, effective)) {
      node.metrics.configRevision.set(object.revision)
      node.log.info('configuration in force', { revision: object.revision })
    }
  }
  // The platform looked no earlier than when the call was sent.
  node.config.confirm(node.config.revision, node.clock() - sentAtMs)
}

async function pollInstances({
  platform,
  onInstances,
}: PlatformLoopOptions): Promise<void> {
  const listed = await platform.instances()
  if (listed.ok) onInstances(listed.val)
}

/** Stores pending billing records. */
export async function flushLedger({
  node,
}: Pick<PlatformLoopOptions, 'node'>): Promise<void> {
  await node.ledger.flush()
  node.metrics.ledgerPending.set(node.ledger.pendingCount)
}
