/** The platform's balancer as callers meet it. */

/**
 * Hands out router addresses in turn.
 *
 * @example
 * const balancer = Balancer.create()
 * balancer.add('n1', '127.0.0.1:4000')
 * balancer.next() // { name: 'n1', address: '127.0.0.1:4000' }
 */
export class Balancer {
  readonly #routers = new Map<string, string>()
  readonly #waiters: (() => void)[] = []
  #turn = 0

  static create(): Balancer {
    return new Balancer()
  }

  add(name: string, address: string): void {
    this.#routers.set(name, address)
    for (const wake of this.#waiters) wake()
  }

  /** Resolves once there are so many routers. */
  async holds(count: number): Promise<void> {
    while (this.#routers.size < count) {
      await new Promise<void>((wake) => this.#waiters.push(wake))
    }
  }

  remove(name: string): void {
    this.#routers.delete(name)
  }

  /** The next router, of those named if any are. */
  next(via?: readonly string[]): { name: string; address: string } {
    const open = [...this.#routers].filter(([name]) => via?.includes(name) ?? true)
    const [name = '', address = ''] = open[this.#turn % Math.max(1, open.length)] ?? []
    this.#turn += 1
    return { name, address }
  }
}
