/** Identifies the caller and the class of a request by the configuration in force. */
import type { IncomingMessage } from 'node:http'
import {
  Err,
  Ok,
  notRun,
  type ConfigIndex,
  type EffectiveClass,
  type EffectiveWorkspace,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { CALLER_HEADERS } from '../constants.js'
import type { RouterNode } from '../routerNode.js'

/** Delay before a caller should retry while the configuration is missing or stale, in milliseconds. */
const CONFIG_RETRY_MS = 2_000

export interface Caller {
  readonly workspace: EffectiveWorkspace
  readonly index: ConfigIndex
}

/** Returns the configuration in force; refuses if it is missing or stale. */
export function freshConfig(node: RouterNode): Result<ConfigIndex, Refusal> {
  const index = node.config.current
  if (!index) {
    const message = 'This instance has no configuration yet.'
    return Err(notRun('config_missing', message, CONFIG_RETRY_MS))
  }
  if (!node.config.isFresh) {
    const message = 'This instance cannot show that its configuration is the newest.'
    return Err(notRun('config_stale', message, CONFIG_RETRY_MS))
  }
  return Ok(index)
}

/** Identifies the caller's workspace by its API key, never by a name in the request. */
export function identify(
  node: RouterNode,
  req: IncomingMessage,
): Result<Caller, Refusal> {
  const fresh = freshConfig(node)
  if (fresh.err) return fresh
  const key = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1]
  const workspace = key === undefined ? undefined : fresh.val.workspaceOfKey(key)
  if (!workspace) {
    const message = 'Give the API key of a workspace as "Authorization: Bearer KEY".'
    return Err(notRun('unauthenticated', message))
  }
  return Ok({ workspace, index: fresh.val })
}

/** The class of a request, named by a header or else by `fallback`. */
export function findClass(
  caller: Caller,
  req: IncomingMessage,
  fallback: string,
): Result<EffectiveClass, Refusal> {
  const name = headerText(req, CALLER_HEADERS.class) ?? fallback
  const cls = caller.index.class(caller.workspace.name, name)
  if (cls) return Ok(cls)
  const message = `Workspace "${caller.workspace.name}" has no class "${name}".`
  return Err(notRun('class_unknown', message))
}

/** Checks that the requested model is the class's own name or a model that the class allows. */
export function checkModel(cls: EffectiveClass, model: string): Refusal | undefined {
  const names = [cls.name, ...cls.allow.map((allowance) => allowance.model)]
  if (names.includes(model)) return undefined
  const message = `Class "${cls.name}" allows no model "${model}"; use one of ${names.join(', ')}.`
  return notRun('model_not_allowed', message)
}

/** Returns a header's first value; `undefined` if it is absent or empty. */
export function headerText(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  const text = Array.isArray(value) ? value[0] : value
  return text === undefined || text === '' ? undefined : text
}
