/** Random faults of the soak, in series that overlap. */
import type { Random } from '@wagtailway/core'
import type { ReplicaFate, ReplicaStandin, StoreStandin } from '@wagtailway/standins'
import { PASS, type RelayState } from '../relay/index.js'
import type { SoakGateway } from './soakGateway.js'

export interface SoakWorld {
  readonly random: Random
  readonly store: StoreStandin
  readonly gateways: readonly SoakGateway[]
  readonly replicas: readonly ReplicaStandin[]
  /** Writes the entry of a replica. */
  readonly enter: (replica: ReplicaStandin, state: 'ready' | 'draining') => void
  /** Notes a fault of the store for so long, in milliseconds. */
  readonly storeDisturbed: (ms: number) => void
}

/** A fault: what it does, and for how long, in milliseconds. */
interface Fault {
  readonly name: string
  readonly ms: number
  readonly begin: (world: SoakWorld) => (() => void) | undefined
}

/** Time that a disturbed gateway needs before bounds count again, in milliseconds. */
const SETTLE_MS = 3_500

const FATES: readonly ReplicaFate[] = ['error', 'shed', 'lose', 'cut', 'hang']

function pick<T>(random: Random, list: readonly T[]): T | undefined {
  return list[Math.floor(random() * list.length)]
}

function disturb(gateway: SoakGateway, ms: number): void {
  const until = performance.now() + ms + SETTLE_MS
  gateway.disturbedUntilMs = Math.max(gateway.disturbedUntilMs, until)
}

/** Ends a gateway by a signal and starts it again. */
function restart(name: string, signal: NodeJS.Signals, downMs: number): Fault {
  return {
    name,
    ms: 0,
    begin: ({ random, gateways }) => {
      const gateway = pick(random, gateways)
      if (!gateway?.isRunning) return undefined
      disturb(gateway, downMs + 5_000)
      gateway.signal(signal)
      void gateway.ended().then(() =>
        setTimeout(() => {
          gateway.start()
        }, downMs),
      )
      return undefined
    },
  }
}

/** Harms one gateway's connections to the store. */
function storeLink(name: string, state: RelayState, ms: number): Fault {
  return {
    name,
    ms,
    begin: ({ random, gateways }) => {
      const gateway = pick(random, gateways)
      if (!gateway) return undefined
      disturb(gateway, ms)
      gateway.store.set(state)
      return () => {
        gateway.store.set(PASS)
      }
    },
  }
}

function storeMode(mode: StoreStandin['mode'], ms: number): Fault {
  return {
    name: `store ${mode}`,
    ms,
    begin: ({ store, storeDisturbed }) => {
      storeDisturbed(ms + SETTLE_MS)
      store.mode = mode
      return () => {
        store.mode = 'up'
      }
    },
  }
}

const FAULTS: readonly Fault[] = [
  restart('stop', 'SIGTERM', 50),
  restart('kill', 'SIGKILL', 300),
  storeLink('store link cut', { type: 'cut' }, 900),
  storeLink('store link silent', { type: 'silent' }, 1_500),
  storeLink('store link loses answers', { type: 'answersLost' }, 900),
  storeLink('store link slow', { type: 'slow', delayMs: 150 }, 1_200),
  storeMode('down', 1_200),
  storeMode('busy', 800),
  storeMode('silent', 1_200),
  storeMode('reset', 800),
  {
    name: 'pause',
    ms: 1_200,
    begin: ({ random, gateways }) => {
      const gateway = pick(random, gateways)
      if (!gateway) return undefined
      disturb(gateway, 1_200)
      gateway.signal('SIGSTOP')
      return () => {
        gateway.signal('SIGCONT')
      }
    },
  },
  {
    name: 'history dropped',
    ms: 0,
    begin: ({ store }) => {
      store.dropHistory()
      return undefined
    },
  },
  {
    name: 'answers of the store lost',
    ms: 0,
    begin: ({ store }) => {
      store.loseAnswers += 2
      return undefined
    },
  },
  {
    name: 'replica fails part of its requests',
    ms: 1_500,
    begin: ({ random, replicas }) => {
      const replica = pick(random, replicas)
      const fate = pick(random, FATES)
      if (!replica || !fate) return undefined
      replica.fate = () => (random() < 0.4 ? fate : 'answer')
      return () => {
        replica.fate = () => 'answer'
      }
    },
  },
  {
    name: 'replica leaves for a while',
    ms: 3_200,
    begin: ({ random, replicas, enter }) => {
      const replica = pick(random, replicas)
      if (!replica) return undefined
      enter(replica, 'draining')
      return () => {
        enter(replica, 'ready')
      }
    },
  },
]

/**
 * Begins a random fault; returns its name.
 *
 * @example
 * log.push(beginFault(world))
 */
export function beginFault(world: SoakWorld): string {
  const fault = pick(world.random, FAULTS)
  if (!fault) return 'none'
  const end = fault.begin(world)
  if (end) setTimeout(end, fault.ms)
  return fault.name
}
