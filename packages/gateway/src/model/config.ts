/** Configuration that operators declare: routes, services, workspaces and limits. */

/**
 * Which requests may be retried: an `idempotent` one any number of times, a `once` one only if no
 * backend server may have begun to run it, a `stream` from its last event if the route is
 * resumable and otherwise like `once`.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** Share of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: string
  /** Relative to the weights of the route's other shares. */
  readonly weight: number
}

/** How requests for one host and path prefix are handled. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Maximum time from the request's arrival to the end of its response, in milliseconds. */
  readonly timeoutMs: number
  /** Target time to the response, or to the first event of a stream, in milliseconds. */
  readonly targetMs: number
  /** Target for the longest time between two events of a stream, in milliseconds. */
  readonly targetEventGapMs: number
  /** Zero is the most urgent. */
  readonly priority: number
  /** Allowed models, smallest first; empty if the caller names the model. */
  readonly models: readonly string[]
  readonly shares: readonly ServiceShare[]
  /** Maximum number of backend servers that may run one request. */
  readonly maxAttempts: number
  /** Whether callers need no API key. */
  readonly isPublic: boolean
  /** Whether a stream can continue on another server after its last event. */
  readonly isResumable: boolean
}

/** A model that a service's engines can run. */
export interface EngineModel {
  readonly name: string
  /** Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one. */
  readonly cost: number
}

/** A group of interchangeable backend servers. */
export interface Service {
  readonly name: string
  /** Path of the health check that each of its servers answers. */
  readonly healthPath: string
  /** Maximum number of connections that one backend server accepts in total. */
  readonly connectionLimit: number
  /** Models that its engines run; empty for a service without models. */
  readonly models: readonly EngineModel[]
  /** Requests a second that a cold server takes; absent if its servers are never cold. */
  readonly coldRequestsPerS?: number
}

/** A customer, whose API keys identify its callers. */
export interface Workspace {
  readonly name: string
  /** Takes precedence over the route's priority if set; zero is the most urgent. */
  readonly priority: number | undefined
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Time after which a caller's idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number
}

/** One version of the whole configuration. */
export interface GatewayConfig {
  /** Increases with each change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  /** Workspace by API key; `undefined` if the deployment has no workspaces. */
  readonly workspaceByKey: ReadonlyMap<string, Workspace> | undefined
  readonly limits: CallerLimits
}
