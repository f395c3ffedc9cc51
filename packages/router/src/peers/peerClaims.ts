/** Claims between entry instances, over connect-es. */
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
  /** Called for each claim that its range's owner did not decide. */
  readonly onFallback: (kind: ClaimKind) => void
}

/**
 * Claims at the instance that groups the writes of a range, and serves such claims.
 *
 * @example
 * const claims = PeerClaims.create(opts)
 * await claims.of.claim.claim({ key: 'note-17', holder: requestId, value: '' })
 */
export class PeerClaims {
  readonly of: Readonly<Record<ClaimKind, ClaimRouter<Member>>>

  private constructor(private readonly opts: PeerClaimsOptions) {
    this.of = { claim: this.#router('claim'), session: this.#router('session') }
  }

  static create(opts: PeerClaimsOptions): PeerClaims {
    return new PeerClaims(opts)
  }

  /** Number of ranges whose writes this instance groups. */
  get ownedRanges(): number {
    return this.of.claim.ownedRanges + this.of.session.ownedRanges
  }

  /** Serves a claim of another instance. */
  async receive(request: ClaimRequest): Promise<Omit<ClaimResponse, '$typeName'>> {
    const table = this.#tableOf(request.kind)
    if (!table) return toResponse({ type: 'unavailable' })
    const { key, holder, value, timeoutMs } = request
    return toResponse(await table.claim({ key, holder, value }, timeoutMs))
  }

  /** Takes in what became of a claim. */
  receiveNote({ kind, key, holder, note }: NoteClaimRequest): void {
    if (note === Note.UNSPECIFIED) return
    const said = note === Note.DONE ? 'done' : 'given_up'
    this.#tableOf(kind)?.note(key, holder, said)
  }

  #tableOf(kind: string): ClaimTable | undefined {
    return kind === 'claim' || kind === 'session' ? this.opts.tables[kind] : undefined
  }

  #router(kind: ClaimKind): ClaimRouter<Member> {
    const { self, members, clients, tables, onFallback } = this.opts
    return ClaimRouter.create({
      table: tables[kind],
      self,
      aliveMembers: () => members.alive().filter(({ region }) => region === self.region),
      send: async (member, request, timeoutMs) => {
        const client = clients.of(member.address)
        const message = { ...request, kind, timeoutMs: Math.ceil(timeoutMs) }
        return toVerdict(await client.claim(message, { timeoutMs }))
      },
      sendNote: async (member, key, holder, note) => {
        const client = clients.of(member.address)
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
  const none = { holder: '', value: '', done: false }
  if (verdict.type === 'granted') return { ...none, verdict: Verdict.GRANTED }
  if (verdict.type === 'unavailable') return { ...none, verdict: Verdict.UNAVAILABLE }
  const { holder, value, done } = verdict
  return { verdict: Verdict.HELD, holder, value, done }
}

function toVerdict({ verdict, holder, value, done }: ClaimResponse): ClaimVerdict {
  if (verdict === Verdict.GRANTED) return { type: 'granted' }
  if (verdict === Verdict.HELD) return { type: 'held', holder, value, done }
  return { type: 'unavailable' }
}
