/** Stand-in for the platform's load balancer in front of the routers. */

/**
 * Returns router addresses in round-robin order.
 *
 * @example
 * const balancer = Balancer.create()
 * balancer.add('n1', '127.0.0.1:4000')
 * balancer.next() // { name: 'n1', address: '127.0.0.1:4000' }
 */
export class Balancer {
  readonly #routers = new Map<string, string>()
  readonly #waiters: (() => void)[] = []
  #nextIndex = 0

  static create(): Balancer {
    return new Balancer()
  }

  add(name: string, address: string): void {
    this.#routers.set(name, address)
    for (const wake of this.#waiters) wake()
  }

  /** Resolves once at least `count` routers are registered. */
  async waitForRouters(count: number): Promise<void> {
    while (this.#routers.size < count) {
      await new Promise<void>((wake) => this.#waiters.push(wake))
    }
  }

  remove(name: string): void {
    this.#routers.delete(name)
  }

  /** The next router, restricted to those in `via` if given. */
  next(via?: readonly string[]): { name: string; address: string } {
    const candidates = [...this.#routers].filter(([name]) => via?.includes(name) ?? true)
    const [name = '', address = ''] =
      candidates[this.#nextIndex % Math.max(1, candidates.length)] ?? []
    this.#nextIndex += 1
    return { name, address }
  }
}
