/** Calls between nodes in virtual time. */
import type { VirtualNode, VirtualWorld } from './virtualWorld.js'

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
    /** Fraction of the messages that are lost; of the others the same fraction is late. */
    public lossRate: number,
  ) {}

  static create(world: VirtualWorld, lossRate: number): VirtualNetwork {
    return new VirtualNetwork(world, lossRate)
  }

  /** Calls another node; the promise stays pending if the request or response is lost. */
  call<T>(from: VirtualNode, to: VirtualNode, handle: () => Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      this.#transmit(to, () => {
        void handle().then((response) => {
          this.#transmit(from, () => {
            resolve(response)
          })
        })
      })
    })
  }

  #transmit(to: VirtualNode, deliver: () => void): void {
    if (this.world.random() < this.lossRate) return
    const isLate = this.world.random() < this.lossRate
    const delayMs = this.world.random() * (isLate ? MAX_LATE_MS : MAX_DELAY_MS)
    this.world.after(delayMs, deliver, to)
  }
}
