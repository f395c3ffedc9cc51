/** Random faults of the soak; faults may overlap. */
import { seededRandom, type Random } from '@wagtailway/core'
import type { ReplicaBehaviour, StoreStandin } from '@wagtailway/standins'
import { PASS, type RelayState } from '../relay/index.js'
import type { BadTrait } from './soakCheck.js'
import { RECOVERY_MS, markDisturbed, selectRandom, type Fault } from './soakFault.js'
import { PROCESS_FAULTS } from './soakProcessFaults.js'

/** Rate limits that a replica may name, in requests a second. */
const RATE_LIMITS = [0.5, 1, 2.5, 8]

/** Cold time, in milliseconds; long enough that the bound is checked after all know of it. */
const COLD_MS = 8_000

const REPLICA_FAULTS: readonly ReplicaBehaviour[] = [
  'error',
  'shed',
  'lose',
  'cut',
  'hang',
]

/** Ends a gateway with a signal and starts it again `downMs` after its exit. */
function restartFault(name: string, signal: NodeJS.Signals, downMs: number): Fault {
  return {
    name,
    ms: 0,
    inject: ({ random, gateways }) => {
      const gateway = selectRandom(random, gateways)
      if (!gateway?.isRunning) return undefined
      markDisturbed(gateway, downMs + 5_000)
      gateway.restart(signal, downMs)
      return undefined
    },
  }
}

/** Disturbs one gateway's connections to the store. */
function storeLinkFault(name: string, state: RelayState, ms: number): Fault {
  return {
    name,
    ms,
    inject: ({ random, gateways }) => {
      const gateway = selectRandom(random, gateways)
      if (!gateway) return undefined
      markDisturbed(gateway, ms)
      gateway.storeRelay.set(state)
      return () => {
        gateway.storeRelay.set(PASS)
      }
    },
  }
}

function storeModeFault(mode: StoreStandin['mode'], ms: number): Fault {
  return {
    name: `store ${mode}`,
    ms,
    inject: ({ store, markStoreDisturbed }) => {
      markStoreDisturbed(ms + RECOVERY_MS)
      store.mode = mode
      return () => {
        store.mode = 'up'
      }
    },
  }
}

/** Lets replicas crash under requests with one trait, which the soak sends meanwhile. */
function crashFault(name: string, kind: BadTrait['kind']): Fault {
  return {
    name,
    ms: 9_000,
    inject: ({ random, badTrait, replicas }) => {
      // One at a time, so that each crash has one trait to blame.
      if (badTrait.current !== undefined) return undefined
      const trait = { kind, value: `bad-${Math.floor(random() * 1e6)}` }
      badTrait.current = trait
      for (const replica of replicas) {
        replica.crashesOn = ({ headers }, body) => {
          const prefix = String(headers['x-prompt-prefix'])
          return kind === 'part' ? prefix.includes(trait.value) : body === trait.value
        }
      }
      return () => {
        badTrait.current = undefined
      }
    },
  }
}

const SERVICE_FAULTS: readonly Fault[] = [
  restartFault('stop', 'SIGTERM', 50),
  restartFault('kill', 'SIGKILL', 300),
  storeLinkFault('store link cut', { type: 'cut' }, 900),
  storeLinkFault('store link silent', { type: 'silent' }, 1_500),
  storeLinkFault('store link loses answers', { type: 'answersLost' }, 900),
  storeLinkFault('store link slow', { type: 'slow', delayMs: 150 }, 1_200),
  storeModeFault('down', 1_200),
  storeModeFault('busy', 800),
  storeModeFault('silent', 1_200),
  storeModeFault('reset', 800),
  {
    name: 'pause',
    ms: 1_200,
    inject: ({ random, gateways }) => {
      const gateway = selectRandom(random, gateways)
      if (!gateway) return undefined
      markDisturbed(gateway, 1_200)
      gateway.signal('SIGSTOP')
      return () => {
        gateway.signal('SIGCONT')
      }
    },
  },
  {
    name: 'history dropped',
    ms: 0,
    inject: ({ store }) => {
      store.dropHistory()
      return undefined
    },
  },
  {
    name: 'store restored',
    ms: 1_200,
    inject: ({ store, restoreStore }) => {
      const copy = store.copy()
      return () => {
        restoreStore(copy)
      }
    },
  },
  {
    name: 'key revoked',
    ms: 0,
    inject: ({ revokeKey }) => {
      revokeKey()
      return undefined
    },
  },
  {
    name: 'answers of the store lost',
    ms: 0,
    inject: ({ store }) => {
      store.loseNextResponses += 2
      return undefined
    },
  },
  {
    name: 'replica fails part of its requests',
    ms: 1_500,
    inject: ({ random, replicas }) => {
      const replica = selectRandom(random, replicas)
      const behaviour = selectRandom(random, REPLICA_FAULTS)
      if (!replica || !behaviour) return undefined
      replica.behaviour = () => (random() < 0.4 ? behaviour : 'answer')
      return () => {
        replica.behaviour = () => 'answer'
      }
    },
  },
  crashFault('replicas crash under a part', 'part'),
  crashFault('replicas crash under a request that comes again', 'body'),
  {
    name: 'replica names a rate limit',
    ms: 9_000,
    inject: ({ random, replicas, limitPeriods }) => {
      const replica = selectRandom(random, replicas)
      // One at a time, so that the others of its service can take the rest.
      if (!replica || replicas.some(({ rateLimit }) => rateLimit !== undefined))
        return undefined
      const requestsPerS = selectRandom(random, RATE_LIMITS) ?? 1
      replica.rateLimit = String(requestsPerS)
      const fromMs = performance.now()
      const period = { replica: replica.id, requestsPerS, fromMs, untilMs: Infinity }
      limitPeriods.push(period)
      return () => {
        replica.rateLimit = undefined
        period.untilMs = Math.min(period.untilMs, performance.now())
      }
    },
  },
  {
    name: 'servers become cold again',
    ms: COLD_MS,
    inject: ({ random, replicas, coldPeriods, writeEntry }) => {
      const nowMs = performance.now()
      // One at a time, and never all of a service, so that others can take the rest.
      if (replicas.some(({ coldUntilMs = 0 }) => coldUntilMs > nowMs)) return undefined
      const cold = replicas.filter((_, i) => i % 3 > 0 && random() < 0.7)
      const periods = cold.map(({ id: replica }) => {
        const untilMs = Number.POSITIVE_INFINITY
        return { replica, fromMs: nowMs, untilMs }
      })
      coldPeriods.push(...periods)
      for (const replica of cold) {
        replica.coldUntilMs = nowMs + COLD_MS
        writeEntry(replica, 'ready')
      }
      return () => {
        const endMs = performance.now()
        for (const period of periods) period.untilMs = Math.min(period.untilMs, endMs)
        for (const replica of cold) writeEntry(replica, 'ready')
      }
    },
  },
  {
    name: 'replica leaves for a while',
    ms: 3_200,
    inject: ({ random, replicas, writeEntry }) => {
      const replica = selectRandom(random, replicas)
      if (!replica) return undefined
      writeEntry(replica, 'draining')
      return () => {
        writeEntry(replica, 'ready')
      }
    },
  },
]

const FAULTS: readonly Fault[] = [...SERVICE_FAULTS, ...PROCESS_FAULTS]

/** Names of the faults of network, store and replicas. */
export const SERVICE_FAULT_NAMES: readonly string[] = SERVICE_FAULTS.map(
  ({ name }) => name,
)

/** Names of the faults of what surrounds a process. */
export const PROCESS_FAULT_NAMES: readonly string[] = PROCESS_FAULTS.map(
  ({ name }) => name,
)

/** Names of all faults. */
export const FAULT_NAMES: readonly string[] = FAULTS.map(({ name }) => name)

/** One fault of a schedule. */
export interface PlannedFault {
  readonly fault: Fault
  /** Time since the fault before, in milliseconds. */
  readonly pauseMs: number
  /** Random numbers of this fault. */
  readonly random: Random
}

/** Mean pause between two faults, in milliseconds; short enough that faults overlap. */
export const MEAN_FAULT_PAUSE_MS = 450

/** Number of seeds that a fault can have. */
const SEED_COUNT = 2 ** 31

/**
 * Returns the schedule of a seed: random faults of those named until `faultsMs` have passed.
 * It depends on nothing else, as each fault has random numbers of its own.
 *
 * @example
 * planFaults(7, FAULT_NAMES, 8_000).map(({ fault }) => fault.name)
 */
export function planFaults(
  seed: number,
  names: readonly string[],
  faultsMs: number,
  meanPauseMs = MEAN_FAULT_PAUSE_MS,
): PlannedFault[] {
  const random = seededRandom(seed)
  const eligible = FAULTS.filter(({ name }) => names.includes(name))
  const planned: PlannedFault[] = []
  for (let atMs = 0; atMs < faultsMs;) {
    const pauseMs = meanPauseMs * (0.3 + 1.4 * random())
    atMs += pauseMs
    const fault = selectRandom(random, eligible)
    const faultSeed = Math.floor(random() * SEED_COUNT)
    if (fault) planned.push({ fault, pauseMs, random: seededRandom(faultSeed) })
  }
  return planned
}
