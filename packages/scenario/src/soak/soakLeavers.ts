/** Callers of the soak that leave before they have their answers, and what is done for them. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Random } from '@wagtailway/core'
import type { ReplicaStandin } from '@wagtailway/standins'
import {
  LEAVE_FORMS,
  leave,
  openCaller,
  requestHead,
} from '../leavingCallers/leavingCaller.js'
import { selectRandom } from './soakFault.js'
import type { SoakGateway } from './soakGateway.js'

/** Beginning of the ids of requests whose callers leave; plain ones run for a while. */
export const LEAVER_ID = 'leaver-'

/** Time that a plain request of a caller that leaves runs, in milliseconds. */
export const LEAVER_RUN_MS = 2_000

/** Time after a leave from which nothing may be done any more, in milliseconds. */
export const LEAVE_BOUND_MS = 500

const LEAVER_PATHS = ['/plain/', '/once/', '/notes/']

/** Requests that a caller sends ahead at most. */
const MAX_AHEAD = 6

/** Longest time for which a caller stays, and pause between two callers, in milliseconds. */
const MAX_STAY_MS = 300
const PAUSE_MS = 100

/** A caller that has left. */
export interface Leaver {
  readonly ids: readonly string[]
  /** Whether the soak disturbed its gateway by then, so that no bound applies. */
  readonly isDisturbed: boolean
  /** In milliseconds of `performance.now()`. */
  readonly leftAtMs: number
  /** Ids of the requests on which replicas were at work when it left, and still were later. */
  readonly runningIds: readonly string[]
  readonly stillRunningIds: readonly string[]
}

export interface LeaverOptions {
  readonly random: Random
  readonly gateways: readonly SoakGateway[]
  readonly replicas: readonly ReplicaStandin[]
  readonly stop: { readonly isRequested: boolean }
}

/**
 * Sends requests and leaves, until stopped; returns what was seen.
 *
 * @example
 * const leavers = await sendLeavers({ random, gateways, replicas, stop })
 */
export async function sendLeavers(opts: LeaverOptions): Promise<Leaver[]> {
  const leavers: Promise<Leaver | undefined>[] = []
  for (let i = 0; !opts.stop.isRequested; i += 1) {
    leavers.push(sendLeaver(opts, i))
    await sleep(PAUSE_MS)
  }
  return (await Promise.all(leavers)).filter((leaver) => leaver !== undefined)
}

async function sendLeaver(
  { random, gateways, replicas }: LeaverOptions,
  index: number,
): Promise<Leaver | undefined> {
  const gateway = selectRandom(random, gateways)
  const path = selectRandom(random, LEAVER_PATHS)
  const form = selectRandom(random, LEAVE_FORMS)
  const count = 1 + Math.floor(random() * MAX_AHEAD)
  const stayMs = random() * MAX_STAY_MS
  if (!gateway?.isSettled || path === undefined || form === undefined) return undefined
  const { host, ports } = gateway.opts
  const socket = await openCaller(ports.callers, host)
  const ids = Array.from({ length: count }, (_, i) => `${LEAVER_ID}${index}-${i}`)
  socket.write(ids.map((id) => requestHead(path, id)).join(''))
  await sleep(stayMs)
  const runningIds = openRuns(replicas, ids)
  leave(socket, form)
  const leftAtMs = performance.now()
  await sleep(LEAVE_BOUND_MS)
  const stillRunning = new Set(openRuns(replicas, ids))
  const isDisturbed = performance.now() < gateway.disturbedUntilMs || !gateway.isSettled
  socket.destroy()
  const stillRunningIds = runningIds.filter((id) => stillRunning.has(id))
  return { ids, isDisturbed, leftAtMs, runningIds, stillRunningIds }
}

function openRuns(replicas: readonly ReplicaStandin[], ids: readonly string[]): string[] {
  return ids.filter((id) => replicas.some(({ openRuns }) => openRuns.has(id)))
}
