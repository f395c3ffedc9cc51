/** Room for the header sections of callers while they are being read. */
import type { Socket } from 'node:net'

/**
 * Fields that the parser keeps of each request without asking for room; browsers and libraries
 * send up to about 40.
 */
export const ORDINARY_HEADER_FIELDS = 256

/** The part of Node's parser that bounds the fields of a request; both count names and values. */
interface FieldParser {
  readonly _headers?: readonly unknown[]
  maxHeaderPairs: number
}

/** Returned by the parser's bound if it is to keep all fields that its byte limit allows. */
const ALL_FIELDS = 0

/**
 * Lets the parser of one connection keep as many fields as the byte limit allows while there is
 * room for them, and `ORDINARY_HEADER_FIELDS` otherwise. A fixed number would refuse a request
 * within the limits of the configuration, and no number would let unfinished header sections
 * and trailers take memory that nobody counts.
 *
 * @example
 * const fields = HeaderFields.create(socket, () => limits.tryHoldLargestHead(16_384))
 * if (fields.take() === 'incomplete') refuse(req)
 */
export class HeaderFields {
  #release: (() => void) | undefined
  #isRefused = false

  private constructor(private readonly tryHold: () => (() => void) | undefined) {}

  /**
   * @param tryHold Takes room for the largest header section; returns what gives it back, or
   *   `undefined` if there is none.
   */
  static create(socket: Socket, tryHold: () => (() => void) | undefined): HeaderFields {
    const fields = new HeaderFields(tryHold)
    const { parser } = socket as Socket & { readonly parser?: FieldParser }
    if (parser) fields.#bound(parser)
    socket.once('close', () => fields.take())
    return fields
  }

  /**
   * Ends the header section that was read, and gives its room back.
   *
   * @returns 'incomplete' if fields of it may be missing.
   */
  take(): 'complete' | 'incomplete' {
    const result = this.#isRefused ? 'incomplete' : 'complete'
    this.#release?.()
    this.#release = undefined
    this.#isRefused = false
    return result
  }

  #bound(parser: FieldParser): void {
    Object.defineProperty(parser, 'maxHeaderPairs', {
      configurable: true,
      enumerable: true,
      // The parser asks for each batch of fields, and at the end of the section.
      get: () => this.#maxPairs(parser._headers?.length ?? 0),
      // Node sets it when it uses the parser for another connection.
      set: (value: number) => {
        const options = { configurable: true, enumerable: true, writable: true, value }
        Object.defineProperty(parser, 'maxHeaderPairs', options)
      },
    })
  }

  #maxPairs(length: number): number {
    const ordinary = 2 * ORDINARY_HEADER_FIELDS
    if (length < ordinary) return ordinary
    if (this.#isRefused) return ordinary
    this.#release ??= this.tryHold()
    if (this.#release) return ALL_FIELDS
    this.#isRefused = true
    return ordinary
  }
}
