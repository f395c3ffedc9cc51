/** Backend servers as the platform reports them. */

/** What the entry of a backend server tells about its cold time. */
export interface ColdNotice {
  /** How long the server stays cold after its entry was written, in milliseconds. */
  readonly remainingMs: number | 'invalid'
  /** Revision of the store at which the entry was written. */
  readonly revision: number
}

/** One running backend server. */
export interface BackendServer {
  readonly id: string
  /** Start time of this incarnation, in milliseconds since the epoch; zero if unknown. */
  readonly startedAtMs: number
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Version of the software that it runs. */
  readonly version: string
  /** Number of requests that it processes concurrently. */
  readonly slots: number
  /** Whether it only completes the requests in progress and gets no new ones. */
  readonly isDraining: boolean
  /** Absent if the server tells nothing about a cold time. */
  readonly cold?: ColdNotice
}

/** Identifies one incarnation of a backend server. */
export function incarnationOf({
  id,
  startedAtMs,
}: Pick<BackendServer, 'id' | 'startedAtMs'>): string {
  return `${id} ${startedAtMs}`
}
