/** What operators declare: routes, services, workspaces and limits of one version. */

/**
 * What may be sent again: an `idempotent` request any number of times, a `once` request
 * never after a backend server may have begun on it, a `stream` from its last event if
 * the route is resumable, else like `once`.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** Part of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: string
  /** Relative to the weights of the route's other shares. */
  readonly weight: number
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time from the request's arrival to the end of its answer, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer, or a stream's first event, is on time, in milliseconds. */
  readonly targetMs: number
  /** Longest pause between two events of a stream that is on time, in milliseconds. */
  readonly targetEventGapMs: number
  /** Zero is the most urgent. */
  readonly priority: number
  /** Allowed models, smallest first; empty if the caller names the model. */
  readonly models: readonly string[]
  readonly shares: readonly ServiceShare[]
  /** Most backend servers that may run one request. */
  readonly maxAttempts: number
  /** Whether callers need no key. */
  readonly isPublic: boolean
  readonly isResumable: boolean
}

/** A model that a service's engines can run. */
export interface EngineModel {
  readonly name: string
  /** Price of 1,000 generated tokens; tokens read count a quarter. */
  readonly cost: number
}

/** Backend servers that answer alike. */
export interface Service {
  readonly name: string
  /** Connections that one backend server accepts from all callers together. */
  readonly connectionLimit: number
  /** Models of its engines; empty for a plain service. */
  readonly models: readonly EngineModel[]
}

/** A customer: who holds its keys calls in its name. */
export interface Workspace {
  readonly name: string
  /** Goes before the route's priority if set; zero is the most urgent. */
  readonly priority: number | undefined
}

/** What callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** How long a caller's idle connection stays open, in milliseconds. */
  readonly idleTimeoutMs: number
}

/** One version of the whole configuration. */
export interface GatewayConfig {
  /** Grows with each version. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  /** Workspace of each key; `undefined` if the deployment has no workspaces. */
  readonly workspaceByKey: ReadonlyMap<string, Workspace> | undefined
  readonly limits: CallerLimits
}
