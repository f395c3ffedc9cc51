/** A request's place at one backend server. */
import {
  Err,
  Ok,
  notRun,
  type PoolSlot,
  type Refusal,
  type Result,
  type ServerPool,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { Call } from '../request/requestContext.js'
import type { RouterNode } from '../routerNode.js'
import type { BackendGroup } from './backendTable.js'

/** Granted by a pool; must be released exactly once. */
export interface Place {
  readonly backend: Instance
  /** Notes that the first token came now. */
  readonly firstToken: () => void
  /** Notes that a whole answer of so many tokens came now. */
  readonly whole: (tokens: number) => void
  /** Gives the place back; `ok` is absent if the end tells nothing about the server. */
  readonly release: (ok?: boolean) => void
}

const GONE_RETRY_MS = 100

/** Waits for a place; a call that is aborted meanwhile leaves the queue. */
export function takePlace(
  node: RouterNode,
  call: Call,
  group: BackendGroup,
  avoid: ReadonlySet<string>,
): Promise<Result<Place, Refusal>> {
  return new Promise((resolve) => {
    const { firstTokenTargetMs } = call
    const usefulMs =
      Math.min(firstTokenTargetMs, call.deadlineMs) - (node.clock() - call.startMs)
    const leave = group.pool.submit({
      workspace: call.workspace.name,
      share: call.workspace.share,
      priority: call.cls.priority,
      usefulMs,
      avoid,
      grant: (grant) => {
        const backend = group.find(grant.replicaId)
        if (backend)
          resolve(Ok(toPlace(node, group.pool, grant, backend, firstTokenTargetMs)))
        else resolve(Err(gone()))
      },
      refuse: (refusal) => {
        resolve(Err(refusal))
      },
    })
    call.signal.addEventListener('abort', () => {
      leave()
      resolve(Err(notRun('deadline_exceeded', 'The request ended while it waited.')))
    })
  })
}

function toPlace(
  node: RouterNode,
  pool: ServerPool,
  grant: PoolSlot,
  backend: Instance,
  targetMs: number,
): Place {
  const startMs = node.clock()
  const elapsed = (): number => node.clock() - startMs
  return {
    backend,
    firstToken: () => {
      pool.observeFirstToken(grant, elapsed(), targetMs)
    },
    whole: (tokens) => {
      pool.observeFullResponse(grant, elapsed(), tokens, targetMs)
    },
    release: (ok) => {
      pool.finish(grant, elapsed(), ok)
    },
  }
}

function gone(): Refusal {
  return notRun('no_backend', 'The backend server has just left.', GONE_RETRY_MS)
}
