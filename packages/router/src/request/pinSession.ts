/**
 * Keeps a session on the version that it started on.
 *
 * A signed token that the caller carries says it at once. A first request pins the
 * version by a claim; while no claim can be made, or where there is only one choice,
 * every node with the same configuration chooses alike and writes the pin later.
 */
import {
  Err,
  Ok,
  hasSingleChoice,
  notRun,
  deterministicChoice,
  signSession,
  verifySession,
  type Candidate,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { RESPONSE_HEADERS, CALLER_HEADERS, CLAIM_TIMEOUT_MS } from '../constants.js'
import { SESSION_RETENTION_MS } from '../peers/claimStore.js'
import type { RouterNode } from '../routerNode.js'
import type { Call } from './requestContext.js'
import { headerText } from './identify.js'

/** Longest name of a session, in characters. */
const MAX_SESSION_LENGTH = 255

/** When a caller should try again if its session can't be pinned, in milliseconds. */
const PIN_RETRY_MS = 1_000

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
  // The session has ended; its name may start a new one.
  if (claims.expiresAtMs < node.wallClock()) return Ok(undefined)
  const usable = usablePin(node, claims.versionKey, allowed)
  if (usable.ok) setToken(node, call, claims.session, claims.versionKey)
  return usable
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
  if (session.length > MAX_SESSION_LENGTH) {
    const message = `A session name has at most ${MAX_SESSION_LENGTH} characters.`
    return Err(notRun('bad_request', message))
  }
  const pinned = await decidePin(node, call, `${call.classKey}/${session}`, proposed)
  if (pinned === undefined) {
    const message = 'The version of this session cannot be decided now; come back later.'
    return Err(notRun('claim_unavailable', message, PIN_RETRY_MS))
  }
  const usable = usablePin(node, pinned, allowed)
  if (usable.ok) setToken(node, call, session, pinned)
  return usable
}

/** The version key that a session without a token is pinned to; `undefined` if none can be shown. */
async function decidePin(
  node: RouterNode,
  call: Call,
  key: string,
  proposed: Candidate,
): Promise<string | undefined> {
  const config = node.config.current
  const usable = config?.usableVersions(call.cls) ?? []
  const rollouts = config?.effective.rollouts ?? []
  const published = deterministicChoice(key, call.cls, usable, rollouts) ?? proposed
  const first = {
    key,
    holder: call.requestId,
    proposed: proposed.key,
    published: published.key,
    // A withdrawn version may have been chosen before it was withdrawn.
    isOnlyChoice: hasSingleChoice(config?.allowedVersions(call.cls) ?? [], rollouts),
  }
  const pin = await node.sessions.pin(first, CLAIM_TIMEOUT_MS)
  node.metrics.sessionPins.inc({ source: pin?.source ?? 'undecided' })
  return pin?.version
}

/** Gives the caller a token; each use of the session moves its end. */
function setToken(node: RouterNode, call: Call, session: string, version: string): void {
  const claims = {
    workspace: call.workspace.name,
    className: call.cls.name,
    session,
    versionKey: version,
    expiresAtMs: node.wallClock() + SESSION_RETENTION_MS,
  }
  const token = signSession(claims, node.cfg.sessionKeys[0] ?? '')
  call.res.setHeader(RESPONSE_HEADERS.sessionToken, token)
}

function usablePin(
  node: RouterNode,
  versionKey: string,
  allowed: readonly Candidate[],
): Result<Candidate, Refusal> {
  const candidate = allowed.find(({ key }) => key === versionKey)
  const isWithdrawn =
    node.config.current?.isWithdrawn(versionKey) === true ||
    node.rollouts.isWithdrawn(versionKey)
  if (candidate && !isWithdrawn) return Ok(candidate)
  const message = `The session's version ${versionKey} was withdrawn; start a new session.`
  return Err(notRun('session_version_withdrawn', message))
}
