/** Keeps a session on the version that it started on. */
import {
  Err,
  Ok,
  notRun,
  signSession,
  verifySession,
  type Candidate,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { ANSWER_HEADERS, CALLER_HEADERS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './call.js'
import { headerText } from './identify.js'

/**
 * Finds the version that the session is pinned to.
 *
 * @returns `undefined` if the request belongs to no session or starts a new one.
 */
export function pinnedVersion(
  node: RouterNode,
  call: Call,
  allowed: readonly Candidate[],
): Result<Candidate | undefined, Refusal> {
  const token = headerText(call.req, CALLER_HEADERS.sessionToken)
  if (token === undefined || !call.cls.sessions) return Ok(undefined)
  const claims = verifySession(token, node.cfg.sessionKeys)
  const session = headerText(call.req, CALLER_HEADERS.session)
  const own =
    claims?.workspace === call.workspace.name &&
    claims.className === call.cls.name &&
    claims.session === (session ?? claims.session)
  if (!claims || !own) {
    return Err(notRun('bad_request', 'The session token is not one of this session.'))
  }
  return usablePin(node, claims.versionKey, allowed)
}

/**
 * Pins a new session to the version proposed for it, or learns to which version
 * another first request has pinned it.
 */
export async function pinSession(
  node: RouterNode,
  call: Call,
  proposed: Candidate,
  allowed: readonly Candidate[],
): Promise<Result<Candidate, Refusal>> {
  const session = headerText(call.req, CALLER_HEADERS.session)
  if (session === undefined || !call.cls.sessions) return Ok(proposed)
  const verdict = await node.sessions.claim({
    key: `${call.classKey}/${session}`,
    holder: call.requestId,
    value: proposed.key,
  })
  if (verdict.type === 'unavailable') {
    const message = 'No session can be started while the platform is away.'
    return Err(notRun('claim_unavailable', message, 1_000))
  }
  const pinned = verdict.type === 'held' ? verdict.value : proposed.key
  const usable = usablePin(node, pinned, allowed)
  if (usable.ok) setToken(node, call, session, pinned)
  return usable
}

function setToken(node: RouterNode, call: Call, session: string, version: string): void {
  const claims = {
    workspace: call.workspace.name,
    className: call.cls.name,
    session,
    versionKey: version,
  }
  const token = signSession(claims, node.cfg.sessionKeys[0] ?? '')
  call.res.setHeader(ANSWER_HEADERS.sessionToken, token)
}

function usablePin(
  node: RouterNode,
  versionKey: string,
  allowed: readonly Candidate[],
): Result<Candidate, Refusal> {
  const candidate = allowed.find(({ key }) => key === versionKey)
  if (candidate && !node.config.current?.isWithdrawn(versionKey)) return Ok(candidate)
  const message = `The session's version ${versionKey} was withdrawn; start a new session.`
  return Err(notRun('session_version_withdrawn', message))
}
