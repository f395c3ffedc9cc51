/**
 * The statements of backend servers that are in force, from responses to this instance and
 * from reports of the others.
 *
 * Each belongs to one incarnation of a server: one that has started again has said nothing
 * yet. A later response without a statement ends `brittle`; `hold` ends with its time, and
 * `leaving` with the server.
 */
import type { Clock } from '@wagtailway/core'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import { MISDIRECTED_REQUEST } from '../model/requestMetadata.js'
import type {
  ReportedStatement,
  ServerStatement,
  StatementType,
  StatementsRead,
} from './serverStatement.js'

const SERVICE_UNAVAILABLE = 503

/** Time for which reports repeat what this instance read, in milliseconds. */
const REPORTED_MS = 6_000

/** Maximum number of statements in one report; the latest are reported. */
const MAX_REPORTED = 12

/** Time after which a statement that nothing has confirmed no longer counts, in milliseconds. */
const BRITTLE_TTL_MS = 30_000

/** Time for which the brittle services are not looked for again, in milliseconds. */
const BRITTLE_SERVICES_TTL_MS = 100

/** Maximum number of incarnations that are kept; those read longest ago go first. */
const MAX_KNOWN = 4_096

interface Told {
  /** Value of the statement; `undefined` if the server no longer makes it. */
  readonly value: number | undefined
  /** When the response arrived, on the monotonic clock. */
  readonly atMs: number
  /** When the server first made the statement. */
  readonly sinceMs: number
  /** Entry instance that read it; `undefined` for this one. */
  readonly source: string | undefined
  readonly relay: string | undefined
}

interface Known {
  readonly service: string
  readonly told: Map<StatementType, Told>
}

/** A statement that is in force, for decisions and the log. */
export interface StatementInForce {
  readonly value: number
  readonly ageMs: number
  readonly sinceMs: number
  readonly source: string | undefined
}

/** A statement that began or ended. */
export interface StatementChange {
  readonly incarnation: string
  readonly type: StatementType
  readonly value: number | undefined
  readonly ageMs: number
  readonly source: string | undefined
}

export interface StatementTableOptions {
  /** Name of this entry instance. */
  readonly name: string
  readonly clock: Clock
  readonly onChange: (change: StatementChange) => void
  /** Called once for each incarnation and type with a value that can't be read. */
  readonly onInvalid: (incarnation: string, type: StatementType) => void
}

/**
 * Table of statements.
 *
 * @example
 * table.observe(server, 503, { statements: [{ type: 'hold', forMs: 2_000 }], invalid: [] })
 * table.heldForMs(server) // 2000
 */
export class StatementTable {
  /** Called when the other instances should learn at once what this one read. */
  onNews: () => void = () => undefined
  readonly #known = new Map<string, Known>()
  readonly #invalid = new Set<string>()
  #brittleServices: ReadonlySet<string> = new Set()
  #brittleServicesUntilMs = 0

  private constructor(private readonly opts: StatementTableOptions) {}

  static create(opts: StatementTableOptions): StatementTable {
    return new StatementTable(opts)
  }

  /**
   * Records the head of a response, also of one that nobody waits for any more.
   *
   * @param relay Instance through which it came, if it was not direct.
   */
  observe(
    server: BackendServer,
    status: number,
    { statements, invalid }: StatementsRead,
    relay?: string,
  ): void {
    // Another server has this address now.
    if (status === MISDIRECTED_REQUEST) return
    const incarnation = incarnationOf(server)
    const about = { incarnation, service: server.service, source: undefined, relay }
    const atMs = this.opts.clock()
    for (const statement of statements) {
      // On other responses the time is meant for the caller.
      if (statement.type === 'hold' && status !== SERVICE_UNAVAILABLE) continue
      this.#apply({ ...about, type: statement.type, value: valueOf(statement), atMs })
    }
    for (const type of invalid) this.#reportInvalid(incarnation, type)
    const isBrittle = statements.some(({ type }) => type === 'brittle')
    if (isBrittle || invalid.includes('brittle')) return
    if (this.#known.get(incarnation)?.told.has('brittle'))
      this.#apply({ ...about, type: 'brittle', value: undefined, atMs })
  }

  /** Applies what another entry instance read itself; older statements are ignored. */
  applyReport(peer: string, statements: readonly ReportedStatement[]): void {
    const nowMs = this.opts.clock()
    for (const { ageMs, ...statement } of statements) {
      // A server asks each instance for itself to hold.
      if (statement.type === 'hold' && statement.relay !== this.opts.name) continue
      if (statement.value === undefined && !this.#known.has(statement.incarnation))
        continue
      this.#apply({ ...statement, source: peer, atMs: nowMs - ageMs })
    }
  }

  /** Time since a server first said that it is leaving, in milliseconds. */
  leavingForMs(server: BackendServer): number | undefined {
    return this.#find(incarnationOf(server), 'leaving')?.sinceMs
  }

  /** Time for which a server wants no requests from this instance, in milliseconds. */
  heldForMs(server: BackendServer): number {
    const held = this.#find(incarnationOf(server), 'hold')
    return held ? Math.max(0, held.value - held.ageMs) : 0
  }

  /**
   * Whether a server is brittle: as it says, or as another one of its service does, because
   * one that has just started has had no time to say so.
   */
  isBrittle({ id, startedAtMs, service }: BackendServer): boolean {
    const incarnation = incarnationOf({ id, startedAtMs })
    if (this.#known.size === 0) return false
    const own = this.#known.get(incarnation)?.told.get('brittle')
    if (own && this.opts.clock() - own.atMs < BRITTLE_TTL_MS)
      return own.value !== undefined
    const nowMs = this.opts.clock()
    if (nowMs >= this.#brittleServicesUntilMs) {
      this.#brittleServicesUntilMs = nowMs + BRITTLE_SERVICES_TTL_MS
      this.#brittleServices = this.#findBrittleServices()
    }
    return this.#brittleServices.has(service)
  }

  #findBrittleServices(): Set<string> {
    return new Set(
      [...this.#known].flatMap(([known, { service }]) =>
        this.#find(known, 'brittle') ? service : [],
      ),
    )
  }

  /** Number of incarnations with a statement in force, by type. */
  count(type: StatementType): number {
    return [...this.#known.keys()].filter((incarnation) => this.#find(incarnation, type))
      .length
  }

  /** What this instance read lately, for its reports to the others. */
  get reported(): ReportedStatement[] {
    const nowMs = this.opts.clock()
    const reported: ReportedStatement[] = []
    for (const [incarnation, { service, told }] of this.#known) {
      for (const [type, { value, atMs, source, relay }] of told) {
        const ageMs = nowMs - atMs
        const concernsOthers = type !== 'hold' || relay !== undefined
        if (source === undefined && ageMs < REPORTED_MS && concernsOthers)
          reported.push({ incarnation, service, type, value, ageMs, relay })
      }
    }
    return reported.slice(-MAX_REPORTED)
  }

  /** Forgets a server that is no longer listed or has restarted. */
  forget(server: BackendServer): void {
    const incarnation = incarnationOf(server)
    this.#known.delete(incarnation)
    for (const type of ['leaving', 'hold', 'brittle'] as const)
      this.#invalid.delete(`${type} ${incarnation}`)
  }

  #find(incarnation: string, type: StatementType): StatementInForce | undefined {
    const told = this.#known.get(incarnation)?.told.get(type)
    if (told?.value === undefined) return undefined
    const nowMs = this.opts.clock()
    const ageMs = nowMs - told.atMs
    if (type === 'hold' && ageMs >= told.value) return undefined
    if (type === 'brittle' && ageMs >= BRITTLE_TTL_MS) return undefined
    const { value, source } = told
    return { value, ageMs, sinceMs: nowMs - told.sinceMs, source }
  }

  #apply(
    statement: Omit<ReportedStatement, 'ageMs'> & Pick<Told, 'atMs' | 'source'>,
  ): void {
    const { incarnation, service, type, value, atMs, source, relay } = statement
    const known: Known = this.#known.get(incarnation) ?? { service, told: new Map() }
    const previous = known.told.get(type)
    if (previous && !isNewer(type, statement, previous)) return
    const before = this.#find(incarnation, type)
    const sinceMs = before && previous ? previous.sinceMs : atMs
    known.told.set(type, { value, atMs, sinceMs, source, relay })
    this.#known.delete(incarnation)
    this.#known.set(incarnation, known)
    for (const oldest of this.#known.keys()) {
      if (this.#known.size <= MAX_KNOWN) break
      this.#known.delete(oldest)
    }
    this.#brittleServicesUntilMs = 0
    const isInForce = this.#find(incarnation, type) !== undefined
    if (isInForce === (before !== undefined)) return
    const ageMs = this.opts.clock() - atMs
    this.opts.onChange({ incarnation, type, value, ageMs, source })
    if (source === undefined) this.onNews()
  }

  #reportInvalid(incarnation: string, type: StatementType): void {
    const key = `${type} ${incarnation}`
    if (this.#invalid.has(key)) return
    this.#invalid.add(key)
    this.opts.onInvalid(incarnation, type)
  }
}

function valueOf(statement: ServerStatement): number {
  switch (statement.type) {
    case 'leaving':
      return 1
    case 'hold':
      return statement.forMs
    case 'brittle':
      return statement.maxRefusalsPerS
  }
}

/** Of two times to hold, the one that ends later counts. */
function isNewer(
  type: StatementType,
  next: Pick<Told, 'value' | 'atMs'>,
  previous: Told,
): boolean {
  if (type !== 'hold') return next.atMs >= previous.atMs
  return next.atMs + (next.value ?? 0) > previous.atMs + (previous.value ?? 0)
}
