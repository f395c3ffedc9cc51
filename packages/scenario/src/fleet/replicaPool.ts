/** Replicas of a model service that crash under some prompts and come back after a while. */
import { ReplicaStandin, type ReplicaRun, type StoreStandin } from '@wagtailway/standins'

const DEFAULT_RESTART_MS = 900

/** What decides whether a replica crashes under a request. */
export type PoolRequest = Pick<ReplicaRun, 'promptParts' | 'body'>

export interface ReplicaPoolOptions {
  readonly store: StoreStandin
  readonly service: string
  readonly count: number
  /** Number of events in a complete stream. */
  readonly events: number
  /** Time between events, in milliseconds. */
  readonly eventMs: number
  /** Whether replicas crash under a request. */
  readonly crashesOn: (request: PoolRequest) => boolean
  /**
   * Time from a crash until the replica is back under a new id, in milliseconds.
   *
   * @default DEFAULT_RESTART_MS
   */
  readonly restartMs?: number
  /**
   * Time until the response of a request that is no stream, in milliseconds.
   *
   * @default 0
   */
  readonly responseMs?: number
}

/** A replica that crashed, and the request under which it did. */
export interface PoolCrash {
  readonly replica: string
  /** In milliseconds of `performance.now()`. */
  readonly atMs: number
  readonly run: ReplicaRun | undefined
}

/**
 * A fixed number of replicas; one that has crashed starts again under a new id.
 *
 * @example
 * const pool = await ReplicaPool.create({ store, service: 'models', count: 4, ...opts })
 * pool.crashes.length // how many replicas have crashed
 * await pool.close()
 */
export class ReplicaPool {
  /** Every replica that ever ran, in the order of their starts. */
  readonly replicas: ReplicaStandin[] = []
  readonly crashes: PoolCrash[] = []
  readonly #restartTimers = new Set<NodeJS.Timeout>()
  #startCount = 0

  private constructor(private readonly opts: ReplicaPoolOptions) {}

  static async create(opts: ReplicaPoolOptions): Promise<ReplicaPool> {
    const pool = new ReplicaPool(opts)
    await Promise.all(Array.from({ length: opts.count }, () => pool.#startReplica()))
    return pool
  }

  /** Runs of all replicas, in no order. */
  get runs(): ReplicaRun[] {
    return this.replicas.flatMap(({ runs }) => runs)
  }

  async close(): Promise<void> {
    for (const timer of this.#restartTimers) clearTimeout(timer)
    await Promise.all(this.replicas.map((replica) => replica.close()))
  }

  async #startReplica(): Promise<void> {
    const { store, service, events, eventMs, crashesOn, responseMs = 0 } = this.opts
    this.#startCount += 1
    const replica = await ReplicaStandin.create({
      id: `m${this.#startCount}`,
      events,
      eventMs,
      responseMs: () => responseMs,
      behaviour: ({ headers }, body) => {
        const prefix = String(headers['x-prompt-prefix'] ?? '')
        const promptParts = prefix.split(',').map((entry) => entry.split(':')[0] ?? '')
        return crashesOn({ promptParts, body }) ? 'crash' : 'answer'
      },
      onCrash: () => {
        this.#recordCrash(replica)
      },
    })
    this.replicas.push(replica)
    store.put('servers', replica.id, replica.entry({ service }))
  }

  #recordCrash(replica: ReplicaStandin): void {
    const { store, crashesOn, restartMs = DEFAULT_RESTART_MS } = this.opts
    this.crashes.push({
      replica: replica.id,
      atMs: performance.now(),
      run: replica.runs.find(crashesOn),
    })
    const timer = setTimeout(() => {
      this.#restartTimers.delete(timer)
      store.remove('servers', replica.id)
      void this.#startReplica()
    }, restartMs)
    this.#restartTimers.add(timer)
  }
}
