/** Backend servers as the platform lists them. */

/** One running backend server. */
export interface BackendServer {
  readonly id: string
  /** Start of this incarnation, in milliseconds since the epoch; zero if not told. */
  readonly startedAtMs: number
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Version of its software. */
  readonly version: string
  /** Requests that it works on at once. */
  readonly slots: number
  /** Whether it takes new work; a leaving server only finishes what it has. */
  readonly isDraining: boolean
}
