/** Types for a subset of js-csp 1.x; the package ships none. */
declare module 'js-csp' {
  interface RawChannel {
    close(): void
    is_closed?(): boolean
    closed?: boolean
  }
  interface Instruction {
    readonly op?: unknown
  }
  interface RawBuffer {
    count(): number
  }
  const csp: {
    CLOSED: null
    NO_VALUE: unknown
    DEFAULT: unknown
    chan(buffer?: number | RawBuffer): RawChannel
    go(body: () => Generator): RawChannel
    timeout(ms: number): RawChannel
    take(ch: RawChannel): Instruction
    put(ch: RawChannel, value: unknown): Instruction
    alts(operations: RawChannel[], options?: { priority?: boolean }): Instruction
    offer(ch: RawChannel, value: unknown): boolean
    poll(ch: RawChannel): unknown
    putAsync(ch: RawChannel, value: unknown, done?: (ok: boolean) => void): void
    takeAsync(ch: RawChannel, done: (value: unknown) => void): void
    buffers: {
      fixed(size: number): RawBuffer
      dropping(size: number): RawBuffer
      sliding(size: number): RawBuffer
    }
  }
  export default csp
}
