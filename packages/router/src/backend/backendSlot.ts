/** A request's slot at one backend server. */
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
import type { RequestContext } from '../request/requestContext.js'
import type { RouterNode } from '../routerNode.js'
import type { BackendGroup } from './backendTable.js'

/** Granted by a pool; must be released exactly once. */
export interface BackendSlot {
  readonly backend: Instance
  /** Records that the first token has just arrived. */
  readonly firstToken: () => void
  /** Records that an unstreamed response of `tokens` completion tokens has just arrived. */
  readonly whole: (tokens: number) => void
  /** Returns the slot; `ok` is absent if the outcome is no evidence about the server. */
  readonly release: (ok?: boolean) => void
}

/** Delay before a caller should retry if its backend server was just removed, in milliseconds. */
const REMOVED_RETRY_MS = 100

/** Waits for a slot; a request that is aborted meanwhile leaves the queue. */
export function acquireSlot(
  node: RouterNode,
  ctx: RequestContext,
  group: BackendGroup,
  excluded: ReadonlySet<string>,
): Promise<Result<BackendSlot, Refusal>> {
  return new Promise((resolve) => {
    const { firstTokenTargetMs } = ctx
    const maxFirstTokenMs =
      Math.min(firstTokenTargetMs, ctx.deadlineMs) - (node.clock() - ctx.startMs)
    const leaveQueue = group.pool.submit({
      workspace: ctx.workspace.name,
      share: ctx.workspace.share,
      priority: ctx.cls.priority,
      maxFirstTokenMs,
      excludedReplicas: excluded,
      grant: (grant) => {
        const backend = group.find(grant.replicaId)
        if (backend)
          resolve(Ok(createSlot(node, group.pool, grant, backend, firstTokenTargetMs)))
        else resolve(Err(removedRefusal()))
      },
      refuse: (refusal) => {
        resolve(Err(refusal))
      },
    })
    ctx.signal.addEventListener('abort', () => {
      leaveQueue()
      resolve(Err(notRun('deadline_exceeded', 'The request ended while it waited.')))
    })
  })
}

function createSlot(
  node: RouterNode,
  pool: ServerPool,
  grant: PoolSlot,
  backend: Instance,
  targetMs: number,
): BackendSlot {
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

function removedRefusal(): Refusal {
  return notRun('no_backend', 'The backend server has just left.', REMOVED_RETRY_MS)
}
