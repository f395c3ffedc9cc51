/**
 * HTTP routes of an entry instance for operators. They are served on the port for other entry
 * instances, which callers can't reach, because the responses name other callers' workspaces.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sendJson } from '../http/sendResponse.js'
import type { RouterNode } from '../routerNode.js'

const KNOWN_REVISION_PATH = '/operator/known-revision'

const DECISION_PATH = /^\/operator\/decisions\/([0-9a-f-]{1,64})$/

/**
 * Handles requests of operators; refuses them until there is a node to report on.
 *
 * @example
 * const operators = OperatorRoutes.create()
 * operators.serve(node)
 */
export class OperatorRoutes {
  #node: RouterNode | undefined

  static create(): OperatorRoutes {
    return new OperatorRoutes()
  }

  /** Starts reporting on a node. */
  serve(node: RouterNode): void {
    this.#node = node
  }

  readonly handle = (req: IncomingMessage, res: ServerResponse): void => {
    const [path = '/', query] = (req.url ?? '/').split('?')
    const decision = DECISION_PATH.exec(path)
    if (!this.#node) sendError(res, 503, 'the instance is starting')
    else if (req.method === 'POST' && path === KNOWN_REVISION_PATH)
      recordKnownRevision(
        res,
        this.#node,
        Number(new URLSearchParams(query).get('revision')),
      )
    else if (req.method !== 'GET') sendError(res, 405, 'use GET')
    else if (decision) sendDecision(res, this.#node, decision[1] ?? '')
    else if (path === '/operator/status') sendJson(res, 200, statusOf(this.#node))
    else if (path === '/metrics') void sendMetrics(res, this.#node)
    else sendError(res, 404, `nothing is served at ${path}`)
  }
}

function statusOf({ cfg, config, inProgress }: RouterNode): Record<string, unknown> {
  return {
    node: cfg.node,
    zone: cfg.zone,
    revision: config.revision,
    fresh: config.isFresh,
    inProgress,
  }
}

/** Records that a revision exists, as reported by the operator who stored it. */
function recordKnownRevision(
  res: ServerResponse,
  { config, log }: RouterNode,
  revision: number,
): void {
  if (!Number.isSafeInteger(revision) || revision <= 0) {
    sendError(res, 400, 'revision must be a positive integer')
    return
  }
  const { revision: ownRevision } = config
  config.recordKnownRevision(revision)
  log.info('revision announced by an operator', { revision, ownRevision })
  sendJson(res, 200, { revision: ownRevision })
}

function sendDecision(res: ServerResponse, node: RouterNode, requestId: string): void {
  const decision = node.decisions.find(requestId)
  if (decision) sendJson(res, 200, decision)
  else sendError(res, 404, `nothing is remembered of ${requestId}`)
}

async function sendMetrics(res: ServerResponse, { metrics }: RouterNode): Promise<void> {
  const text = await metrics.registry.metrics()
  res.writeHead(200, { 'content-type': metrics.registry.contentType })
  res.end(text)
}

function sendError(res: ServerResponse, status: number, message: string): void {
  sendJson(res, status, { error: message })
}
