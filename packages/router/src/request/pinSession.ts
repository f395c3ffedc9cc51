/**
 * Keeps a session on the version that it started on.
 *
 * A signed token sent by the caller names the version. The first request of a session
 * pins the version with a claim. If no claim can be made in a platform outage, or if only
 * one version is possible, every node with the same configuration selects the same
 * version without a claim, and the pin is stored later.
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
import type { RequestContext } from './requestContext.js'
import { headerText } from './identify.js'

/** Longest session name, in characters. */
const MAX_SESSION_LENGTH = 255

/** Delay before a caller should retry if its session can't be pinned, in milliseconds. */
const PIN_RETRY_MS = 1_000

/**
 * Returns the version that the session token names.
 *
 * @returns `undefined` if there is no token, it has expired or the class has no sessions.
 */
export function pinnedVersion(
  node: RouterNode,
  ctx: RequestContext,
  allowed: readonly Candidate[],
): Result<Candidate | undefined, Refusal> {
  const token = headerText(ctx.req, CALLER_HEADERS.sessionToken)
  if (token === undefined || !ctx.cls.sessions) return Ok(undefined)
  const claims = verifySession(token, node.cfg.sessionKeys)
  const session = headerText(ctx.req, CALLER_HEADERS.session)
  const isOwnSession =
    claims?.workspace === ctx.workspace.name &&
    claims.className === ctx.cls.name &&
    claims.session === (session ?? claims.session)
  if (!claims || !isOwnSession) {
    return Err(notRun('bad_request', 'The session token is not one of this session.'))
  }
  // The session has expired; its name may be used for a new one.
  if (claims.expiresAtMs < node.wallClock()) return Ok(undefined)
  const usable = checkPin(node, claims.versionKey, allowed)
  if (usable.ok) setSessionToken(node, ctx, claims.session, claims.versionKey)
  return usable
}

/**
 * Pins a new session to the version proposed for it, or returns the version to which
 * another request has pinned it. Returns the proposed version if there is no session.
 */
export async function pinSession(
  node: RouterNode,
  ctx: RequestContext,
  proposed: Candidate,
  allowed: readonly Candidate[],
): Promise<Result<Candidate, Refusal>> {
  const session = headerText(ctx.req, CALLER_HEADERS.session)
  if (session === undefined || !ctx.cls.sessions) return Ok(proposed)
  if (session.length > MAX_SESSION_LENGTH) {
    const message = `A session name has at most ${MAX_SESSION_LENGTH} characters.`
    return Err(notRun('bad_request', message))
  }
  const pinned = await decidePin(node, ctx, `${ctx.classKey}/${session}`, proposed)
  if (pinned === undefined) {
    const message = 'The version of this session cannot be decided now; come back later.'
    return Err(notRun('claim_unavailable', message, PIN_RETRY_MS))
  }
  const usable = checkPin(node, pinned, allowed)
  if (usable.ok) setSessionToken(node, ctx, session, pinned)
  return usable
}

/** Pins a session without a token; `undefined` if another instance might pin it otherwise. */
async function decidePin(
  node: RouterNode,
  ctx: RequestContext,
  key: string,
  proposed: Candidate,
): Promise<string | undefined> {
  const config = node.config.current
  const usable = config?.usableVersions(ctx.cls) ?? []
  const rollouts = config?.effective.rollouts ?? []
  const published = deterministicChoice(key, ctx.cls, usable, rollouts) ?? proposed
  const firstRequest = {
    key,
    holder: ctx.requestId,
    proposed: proposed.key,
    published: published.key,
    // Includes withdrawn versions: another node may have pinned one before its withdrawal.
    isOnlyChoice: hasSingleChoice(config?.allowedVersions(ctx.cls) ?? [], rollouts),
  }
  const pin = await node.sessions.pin(firstRequest, CLAIM_TIMEOUT_MS)
  node.metrics.sessionPins.inc({ source: pin?.source ?? 'undecided' })
  return pin?.version
}

/** Sends the caller a session token; each request of the session extends its expiry. */
function setSessionToken(
  node: RouterNode,
  ctx: RequestContext,
  session: string,
  version: string,
): void {
  const claims = {
    workspace: ctx.workspace.name,
    className: ctx.cls.name,
    session,
    versionKey: version,
    expiresAtMs: node.wallClock() + SESSION_RETENTION_MS,
  }
  const token = signSession(claims, node.cfg.sessionKeys[0] ?? '')
  ctx.res.setHeader(RESPONSE_HEADERS.sessionToken, token)
}

function checkPin(
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
