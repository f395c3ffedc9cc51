import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  ClaimTable,
  Ledger,
  MemoryStore,
  monotonicClock,
  seededRandom,
  startTimer,
  wallClock,
  type BillingRecord,
  type Member,
  type MemberTable,
} from '@wagtailway/core'
import { PeerClaims, type ClaimTables } from '../peerClaims.js'
import { PeerClients } from '../peerClients.js'
import { PeerServer } from '../peerServer.js'
import { listenOnce } from '../../http/listen.js'
import { RecordCopies } from '../recordCopies.js'

const record: BillingRecord = {
  requestId: 'q1',
  workspace: 'panel',
  classKey: 'panel/dossier',
  calls: [{ versionKey: 'm@v1', backend: 'e1', promptTokens: 12, completionTokens: 34 }],
  costMicros: 567,
  atMs: 1_733_240_000_000,
}

function createTables(store: MemoryStore): ClaimTables {
  const deps = { clock: monotonicClock, wallClock, random: seededRandom(1), startTimer }
  return {
    claim: ClaimTable.create({ ...deps, store, kind: 'claim' }),
    session: ClaimTable.create({ ...deps, store, kind: 'session' }),
  }
}

/** Starts two instances on the loopback interface with a shared store. */
async function setUp() {
  const store = MemoryStore.create()
  const members: Member[] = []
  const start = async (node: string, zone: string) => {
    const holder: { copies?: RecordCopies; claims?: PeerClaims } = {}
    const server = await PeerServer.create({
      listen: (listening) => listenOnce(listening, { host: '127.0.0.1', port: 0 }),
      fallback: (_, res) => res.end(),
      service: {
        copyRecords: (req) => ({ accepted: holder.copies?.receive(req) ?? false }),
        claim: (req) => holder.claims?.receive(req) ?? {},
      },
    })
    const { address } = server
    const self = { node, zone, region: 'r1', incarnation: `${node}-1`, address }
    members.push({ ...self, leaving: false })
    const alive = (): Member[] => members.filter((member) => member.node !== node)
    const clients = PeerClients.create()
    const tables = createTables(store)
    const ledger = Ledger.create({ store, incarnation: self.incarnation })
    const shared = { self, members: { alive } as MemberTable, clients }
    const copies = RecordCopies.create({
      ...shared,
      ledger,
      store,
      onRecovered: () => undefined,
      onError: (err) => {
        throw err
      },
    })
    const claims = PeerClaims.create({ ...shared, tables, onFallback: () => undefined })
    Object.assign(holder, { copies, claims })
    const close = async (): Promise<void> => {
      await copies.close()
      await server.close()
      clients.close()
      tables.claim.close()
      tables.session.close()
    }
    return { ledger, copies, claims, close }
  }
  return { store, first: await start('n1', 'z1'), second: await start('n2', 'z2') }
}

describe('two instances over connect-es', () => {
  it('copy records and drop the copies once the records are stored', async () => {
    const { first, second } = await setUp()
    assert.equal(await first.copies.copy(first.ledger.add(record)), true)
    assert.equal(second.copies.count, 1)
    await first.ledger.flush()
    await first.copies.handOver()
    await first.copies.handOver()
    assert.equal(second.copies.count, 0)
    await first.close()
    await second.close()
  })

  it('grant a key to exactly one of two holders that claim it at different instances', async () => {
    const { first, second } = await setUp()
    for (let i = 0; i < 20; i++) {
      const claimKey = ({ claims }: typeof first, holder: string) =>
        claims.routers.claim.claim({ key: `k${i}`, holder, value: '' })
      const verdicts = await Promise.all([claimKey(first, 'h1'), claimKey(second, 'h2')])
      const types = verdicts.map(({ type }) => type).toSorted()
      assert.deepEqual(types, ['granted', 'held'])
    }
    await first.close()
    await second.close()
  })
})
