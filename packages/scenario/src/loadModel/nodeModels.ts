/** Entry instances in virtual time: the product's admission and the baselines. */
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
  /** Takes in a load report of a replica. */
  report(replicaId: string, load: number, ageMs: number): void
}

export interface NodeContext {
  readonly time: VirtualTime
  readonly random: Random
  readonly replicas: readonly ReplicaModel[]
}

/** Creates the entry instances of one policy. */
export type NodeFactory = (context: NodeContext) => NodeModel

/**
 * The product's pool with its windows, fair queue and early refusals.
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
          usefulMs: request.firstTokenTargetMs,
          refuse: callbacks.onRefused,
          grant: (grant) => {
            const { firstTokenTargetMs } = request
            runOn(time, find(replicas, grant.replicaId), request, callbacks, {
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
 * A balancer without admission: every request goes straight to a replica,
 * up to `limit` in progress.
 */
export function unpooled(chooseReplica: ReplicaPolicy, limit = Infinity): NodeFactory {
  return ({ time, random, replicas }) => {
    const views = new Map(replicas.map(({ spec }) => [spec.id, newView(spec.id)]))
    let inProgress = 0
    return {
      submit: (request, callbacks) => {
        if (inProgress >= limit) {
          callbacks.onRefused(notRun('overloaded', 'At the limit.', 1_000))
          return
        }
        const chosen = chooseReplica({ replicas: [...views.values()], zone: '', random })
        const view = chosen && views.get(chosen.id)
        if (!view) return
        inProgress += 1
        view.inFlight += 1
        view.startsSinceReport += 1
        runOn(time, find(replicas, view.id), request, callbacks, {
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

/** Policies without admission that experiments compare with. */
export const BASELINES: Readonly<Record<string, () => NodeFactory>> = {
  'round robin': () => unpooled(roundRobin()),
  'least reported load': () => unpooled(leastLoaded(reportedLoad)),
  'two choices': () => unpooled(powerOfTwoChoices(ownLoad)),
}

interface RunObserver {
  readonly onFirstToken?: (firstTokenMs: number) => void
  readonly onDone: (heldMs: number) => void
}

function runOn(
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

function newView(id: string): Writable<ReplicaView> {
  return {
    id,
    zone: '',
    inFlight: 0,
    reportedLoad: 0,
    reportAgeMs: 0,
    startsSinceReport: 0,
  }
}

function find(replicas: readonly ReplicaModel[], id: string): ReplicaModel {
  const replica = replicas.find(({ spec }) => spec.id === id)
  if (!replica) throw new Error(`no replica ${id}`)
  return replica
}
