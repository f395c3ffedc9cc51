/** Entry instances in virtual time: the product's admission control and baselines. */
import {
  ServerPool,
  leastLoaded,
  notRun,
  ownLoad,
  reportedLoad,
  roundRobin,
  powerOfTwoChoices,
  type Random,
  type Refusal,
  type ReplicaPolicy,
  type ReplicaView,
} from '@wagtailway/core'
import type { ReplicaModel } from './replicaModel.js'
import type { VirtualTime } from './virtualTime.js'

export interface ModelRequest {
  readonly workspace: string
  readonly share: number
  readonly priority: number
  /** Target of the time to the first token, in milliseconds. */
  readonly firstTokenTargetMs: number
  readonly tokens: number
}

export interface ModelCallbacks {
  readonly onFirstToken: () => void
  readonly onDone: () => void
  readonly onRefused: (refusal: Refusal) => void
}

/** One entry instance. */
export interface NodeModel {
  submit(request: ModelRequest, callbacks: ModelCallbacks): void
  /** Applies a load report of a replica. */
  report(replicaId: string, load: number, ageMs: number): void
}

export interface NodeContext {
  readonly time: VirtualTime
  readonly random: Random
  readonly replicas: readonly ReplicaModel[]
}

/** Creates an entry instance that follows one policy. */
export type NodeFactory = (context: NodeContext) => NodeModel

/**
 * The product's server pool with its concurrency limits, fair queue and load shedding.
 *
 * @example
 * const node = pooled(twoRandomChoices(ownLoad))(context)
 */
export function pooled(chooseReplica: ReplicaPolicy): NodeFactory {
  return ({ time, random, replicas }) => {
    const pool = ServerPool.create({
      clock: time.now,
      random,
      zone: '',
      selectReplica: chooseReplica,
    })
    pool.setReplicas(replicas.map(({ spec }) => ({ id: spec.id, zone: '' })))
    return {
      submit: (request, callbacks) => {
        pool.submit({
          ...request,
          maxFirstTokenMs: request.firstTokenTargetMs,
          refuse: callbacks.onRefused,
          grant: (grant) => {
            const { firstTokenTargetMs } = request
            runJob(time, findReplica(replicas, grant.replicaId), request, callbacks, {
              onFirstToken: (ms) => {
                pool.observeFirstToken(grant, ms, firstTokenTargetMs)
              },
              onDone: (heldMs) => {
                pool.finish(grant, heldMs, true)
              },
            })
          },
        })
      },
      report: (id, load, ageMs) => {
        pool.report(id, load, ageMs)
      },
    }
  }
}

/**
 * A load balancer without a queue: sends every request to a replica at once and refuses
 * those beyond `limit` requests in progress.
 */
export function unpooled(chooseReplica: ReplicaPolicy, limit = Infinity): NodeFactory {
  return ({ time, random, replicas }) => {
    const views = new Map(replicas.map(({ spec }) => [spec.id, createView(spec.id)]))
    let inProgress = 0
    return {
      submit: (request, callbacks) => {
        if (inProgress >= limit) {
          callbacks.onRefused(notRun('overloaded', 'At the limit.', 1_000))
          return
        }
        const selected = chooseReplica({
          replicas: [...views.values()],
          zone: '',
          random,
        })
        const view = selected && views.get(selected.id)
        if (!view) return
        inProgress += 1
        view.inFlight += 1
        view.startsSinceReport += 1
        runJob(time, findReplica(replicas, view.id), request, callbacks, {
          onDone: () => {
            inProgress -= 1
            view.inFlight -= 1
          },
        })
      },
      report: (id, load, ageMs) => {
        const view = views.get(id)
        if (!view) return
        view.reportedLoad = load
        view.reportAgeMs = ageMs
        view.startsSinceReport = 0
      },
    }
  }
}

/** Policies without admission control, as baselines of the experiments. */
export const BASELINES: Readonly<Record<string, () => NodeFactory>> = {
  'round robin': () => unpooled(roundRobin()),
  'least reported load': () => unpooled(leastLoaded(reportedLoad)),
  'two choices': () => unpooled(powerOfTwoChoices(ownLoad)),
}

interface RunObserver {
  readonly onFirstToken?: (firstTokenMs: number) => void
  readonly onDone: (heldMs: number) => void
}

function runJob(
  time: VirtualTime,
  replica: ReplicaModel,
  request: ModelRequest,
  callbacks: ModelCallbacks,
  observer: RunObserver,
): void {
  const startMs = time.now()
  replica.submit({
    tokens: request.tokens,
    priority: request.priority,
    onFirstToken: () => {
      observer.onFirstToken?.(time.now() - startMs)
      callbacks.onFirstToken()
    },
    onDone: () => {
      observer.onDone(time.now() - startMs)
      callbacks.onDone()
    },
  })
}

type Writable<T> = { -readonly [K in keyof T]: T[K] }

function createView(id: string): Writable<ReplicaView> {
  return {
    id,
    zone: '',
    inFlight: 0,
    reportedLoad: 0,
    reportAgeMs: 0,
    startsSinceReport: 0,
  }
}

function findReplica(replicas: readonly ReplicaModel[], id: string): ReplicaModel {
  const replica = replicas.find(({ spec }) => spec.id === id)
  if (!replica) throw new Error(`no replica ${id}`)
  return replica
}
