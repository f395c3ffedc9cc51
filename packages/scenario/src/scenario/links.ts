/** Relays on the links on which a scenario injects faults. */
import type { Deployment } from '../harness/deployment.js'
import type { TestProcess } from '../harness/testProcess.js'
import { TcpRelay } from '../relay/index.js'
import { LINK_ACTIONS, type Scenario } from './schema.js'

/** Source in a link name that stands for all callers. */
const CALLERS = 'callers'

/**
 * Puts a relay on each link named by a fault, and on no others.
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
    const faultLinks = faults.flatMap((fault) =>
      LINK_ACTIONS.flatMap((action) => fault[action] ?? []),
    )
    return new Links(new Set(faultLinks.flatMap((link) => expandLink(link, routers))))
  }

  /** Relays of a link; a link from `*` includes those of all routers. */
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

  /** Base URL at which one router reaches the platform. */
  async platformUrl(router: string, address: string): Promise<string> {
    const relay = await this.#create(`${router} > platform`, address)
    return `http://${relay?.address ?? address}/views/${router}`
  }

  /**
   * Puts relays in front of a started part and points the routers' views of the list at
   * them.
   */
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

function expandLink(link: string, routers: readonly string[]): string[] {
  const [from, to = ''] = link.split(' > ')
  if (from !== '*') return [link]
  return routers.filter((router) => router !== to).map((router) => `${router} > ${to}`)
}
