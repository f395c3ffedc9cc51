/** Finds the route for a request. */
import type { Route } from './config.js'

/**
 * Routes by host, the longest path prefix first.
 *
 * @example
 * RouteTable.create(cfg.routes).find('app.example', '/v1/notes/7')
 */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>()

  private constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      this.#byHost.set(host, [...(this.#byHost.get(host) ?? []), route])
    }
    for (const hostRoutes of this.#byHost.values()) {
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes)
  }

  /** The route with the longest matching path prefix; a port in the host is ignored. */
  find(host: string, path: string): Route | undefined {
    const hostname = host.toLowerCase().replace(/:\d+$/, '')
    return this.#byHost
      .get(hostname)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }
}
