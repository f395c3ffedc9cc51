/** Relays on the links that a scenario disturbs. */
import type { Deployment } from '../harness/deployment.js'
import type { TestProcess } from '../harness/testProcess.js'
import { TcpRelay } from '../relay/index.js'
import { LINK_ACTIONS, type Scenario } from './schema.js'

/** Name of the link end that stands for all callers. */
const CALLERS = 'callers'

/**
 * Puts a relay on each link that a fault names, and on no other.
 *
 * @example
 * const links = Links.create(scenario)
 * links.relays('n1 > e1').forEach((relay) => relay.set({ type: 'cut' }))
 */
export class Links {
  readonly #relays = new Map<string, TcpRelay>()
  readonly #views = new Map<string, Record<string, string>>()

  private constructor(private readonly names: ReadonlySet<string>) {}

  static create({ faults, deployment }: Scenario): Links {
    const routers = Array.from({ length: deployment.routers }, (_, i) => `n${i + 1}`)
    const named = faults.flatMap((fault) => LINK_ACTIONS.flatMap((a) => fault[a] ?? []))
    return new Links(new Set(named.flatMap((link) => expand(link, routers))))
  }

  /** Relays of a link; of all routers if it begins with `*`. */
  relays(link: string): readonly TcpRelay[] {
    const [from = '', to = ''] = link.split(' > ')
    return [...this.#relays]
      .filter(([name]) => name === link || (from === '*' && name.endsWith(` > ${to}`)))
      .map(([, relay]) => relay)
  }

  /** Address at which callers reach a router. */
  async callerAddress(router: string, process: TestProcess): Promise<string> {
    const relay = await this.#create(`${CALLERS} > ${router}`, process.address)
    return relay?.address ?? process.address
  }

  /** Base URL of the platform for one router. */
  async platformUrl(router: string, address: string): Promise<string> {
    const relay = await this.#create(`${router} > platform`, address)
    return `http://${relay?.address ?? address}/views/${router}`
  }

  /** Puts relays before backend servers or routers that have started. */
  async addTarget(deployment: Deployment, part: string, address: string): Promise<void> {
    for (const name of this.names) {
      const [from = '', to] = name.split(' > ')
      if (to !== part || from === CALLERS) continue
      const relay = await this.#create(name, address)
      if (!relay) continue
      const view = { ...this.#views.get(from), [part]: relay.address }
      this.#views.set(from, view)
      await deployment.admin(deployment.platform, 'PUT', `/admin/views/${from}`, view)
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#relays.values()].map((relay) => relay.close()))
  }

  async #create(name: string, target: string): Promise<TcpRelay | undefined> {
    if (!this.names.has(name)) return undefined
    const relay = await TcpRelay.create({ target })
    this.#relays.set(name, relay)
    return relay
  }
}

function expand(link: string, routers: readonly string[]): string[] {
  const [from, to = ''] = link.split(' > ')
  if (from !== '*') return [link]
  return routers.filter((router) => router !== to).map((router) => `${router} > ${to}`)
}
