/** Routes claims between entry instances over connect-es. */
import {
  ClaimRouter,
  monotonicClock,
  startTimer,
  type ClaimNote,
  type ClaimTable,
  type ClaimVerdict,
  type Member,
  type MemberIdentity,
  type MemberTable,
} from '@wagtailway/core'
import {
  ClaimResponse_Verdict as Verdict,
  NoteClaimRequest_Note as Note,
  type ClaimRequest,
  type ClaimResponse,
  type NoteClaimRequest,
} from '@wagtailway/protocol'
import { CLAIM_NOTE_TIMEOUT_MS } from '../constants.js'
import type { PeerClients } from './peerClients.js'

export type ClaimKind = 'claim' | 'session'

export type ClaimTables = Readonly<Record<ClaimKind, ClaimTable>>

export interface PeerClaimsOptions {
  readonly self: MemberIdentity
  readonly members: MemberTable
  readonly clients: PeerClients
  readonly tables: ClaimTables
  /** Called for each claim that the owner of its range did not decide. */
  readonly onFallback: (kind: ClaimKind) => void
}

/**
 * Sends claims to the owner of their range, the instance that groups the writes of that range,
 * and decides claims received from other instances.
 *
 * @example
 * const claims = PeerClaims.create(opts)
 * await claims.routers.claim.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class PeerClaims {
  readonly routers: Readonly<Record<ClaimKind, ClaimRouter<Member>>>

  private constructor(private readonly opts: PeerClaimsOptions) {
    this.routers = {
      claim: this.#createRouter('claim'),
      session: this.#createRouter('session'),
    }
  }

  static create(opts: PeerClaimsOptions): PeerClaims {
    return new PeerClaims(opts)
  }

  /** Number of ranges that this instance owns. */
  get ownedRanges(): number {
    return this.routers.claim.ownedRanges + this.routers.session.ownedRanges
  }

  /** Decides a claim received from another instance. */
  async receive(request: ClaimRequest): Promise<Omit<ClaimResponse, '$typeName'>> {
    const table = this.#tableOf(request.kind)
    if (!table) return toResponse({ type: 'unavailable' })
    const { key, holder, value, timeoutMs } = request
    return toResponse(await table.claim({ key, holder, value }, timeoutMs))
  }

  /** Records the outcome of a claim that another instance reports. */
  receiveNote({ kind, key, holder, note }: NoteClaimRequest): void {
    if (note === Note.UNSPECIFIED) return
    const claimNote = note === Note.DONE ? 'done' : 'given_up'
    this.#tableOf(kind)?.note(key, holder, claimNote)
  }

  #tableOf(kind: string): ClaimTable | undefined {
    return kind === 'claim' || kind === 'session' ? this.opts.tables[kind] : undefined
  }

  #createRouter(kind: ClaimKind): ClaimRouter<Member> {
    const { self, members, clients, tables, onFallback } = this.opts
    return ClaimRouter.create({
      table: tables[kind],
      self,
      aliveMembers: () => members.alive().filter(({ region }) => region === self.region),
      send: async (member, request, timeoutMs) => {
        const client = clients.forAddress(member.address)
        const message = { ...request, kind, timeoutMs: Math.ceil(timeoutMs) }
        return toVerdict(await client.claim(message, { timeoutMs }))
      },
      sendNote: async (member, key, holder, note) => {
        const client = clients.forAddress(member.address)
        const message = { kind, key, holder, note: toNote(note) }
        await client.noteClaim(message, { timeoutMs: CLAIM_NOTE_TIMEOUT_MS })
      },
      clock: monotonicClock,
      startTimer,
      onFallback: () => {
        onFallback(kind)
      },
    })
  }
}

function toNote(note: ClaimNote): Note {
  return note === 'done' ? Note.DONE : Note.GIVEN_UP
}

function toResponse(verdict: ClaimVerdict): Omit<ClaimResponse, '$typeName'> {
  const emptyFields = { holder: '', value: '', done: false }
  if (verdict.type === 'granted') return { ...emptyFields, verdict: Verdict.GRANTED }
  if (verdict.type === 'unavailable')
    return { ...emptyFields, verdict: Verdict.UNAVAILABLE }
  const { holder, value, done } = verdict
  return { verdict: Verdict.HELD, holder, value, done }
}

function toVerdict({ verdict, holder, value, done }: ClaimResponse): ClaimVerdict {
  if (verdict === Verdict.GRANTED) return { type: 'granted' }
  if (verdict === Verdict.HELD) return { type: 'held', holder, value, done }
  return { type: 'unavailable' }
}
