/** Calls between nodes in virtual time. */
import type { VirtualNode, VirtualWorld } from './world.js'

const MAX_DELAY_MS = 4
const MAX_LATE_MS = 1_500

/**
 * A network that loses and delays messages in both directions.
 *
 * @example
 * const network = VirtualNetwork.create(world, 0.1)
 * await network.call(n1, n2, () => table.claim(request))
 */
export class VirtualNetwork {
  private constructor(
    private readonly world: VirtualWorld,
    /** Part of the messages that are lost; as many are late. */
    public lossRate: number,
  ) {}

  static create(world: VirtualWorld, lossRate: number): VirtualNetwork {
    return new VirtualNetwork(world, lossRate)
  }

  /** Calls another node; if a message is lost the promise never settles. */
  call<T>(from: VirtualNode, to: VirtualNode, serve: () => Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      this.#carry(to, () => {
        void serve().then((answer) => {
          this.#carry(from, () => {
            resolve(answer)
          })
        })
      })
    })
  }

  #carry(to: VirtualNode, deliver: () => void): void {
    if (this.world.random() < this.lossRate) return
    const isLate = this.world.random() < this.lossRate
    const delayMs = this.world.random() * (isLate ? MAX_LATE_MS : MAX_DELAY_MS)
    this.world.after(delayMs, deliver, to)
  }
}
