/**
 * Random datagrams: any bytes, any JSON, and messages of ours with some values replaced. No decoder
 * throws, and nothing that timers and requests do afterwards. `DATAGRAM_FUZZ_RUNS` and
 * `DATAGRAM_FUZZ_SEED` choose another run than that of CI.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, toBinary } from '@bufbuild/protobuf'
import { hash32 } from '@wagtailway/core'
import { LoadReportSchema, type LoadReport_Scope } from '@wagtailway/protocol'
import fc from 'fast-check'
import { encodePlaceDatagram } from '../../statements/placeMessage.js'
import { encodeReport } from '../peerReport.js'
import { encodePermitMessage } from '../permitMessage.js'
import { FuzzedReceiver } from './fuzzedReceiver.js'
import { mutatedJson } from './mutatedJson.js'

const RUNS = Number(process.env['DATAGRAM_FUZZ_RUNS'] ?? 300)
const SEED = Number(process.env['DATAGRAM_FUZZ_SEED'] ?? 1)

const MAX_UINT32 = 4_294_967_295

/** First byte of load messages. */
const LOAD_BYTE = 0x4c

const REPORT = encodeReport({
  name: 'n2',
  zone: 'z1',
  linkMbps: 10,
  sequence: 5,
  isDraining: false,
  loads: new Map([['s1', { running: 2, waitingMs: [40, 300] }]]),
  evidence: [
    {
      service: 'a',
      target: 'v2',
      observations: [
        { group: 'lookup', server: undefined, outcome: 7, ageMs: 0, count: 30 },
        { group: 'lookup', server: 's1', outcome: 'failed', ageMs: 2_000, count: 4 },
      ],
    },
  ],
  rollouts: [{ service: 'a', target: 'v2', elapsedMs: 1_200, isWithdrawn: false }],
  sessionHashes: [17, MAX_UINT32],
  unreachableServers: ['s9'],
  prefillSpeeds: new Map([['large', [0.05, undefined, 0.0712]]]),
  feedMarks: [{ kind: 'config', era: 1, changedAt: 4, asOf: 9, ageMs: 120, hops: 1 }],
  crashReport: {
    crashes: [{ incarnation: 's1 5', ageMs: 310, traits: new Map([['t7', 1]]) }],
    sound: [{ trait: 't3', ageMs: 15, count: 4 }],
    traits: [{ trait: 't7', generation: 2, probes: 0, refusedAgeMs: 20 }],
  },
  limits: [{ incarnation: 's1 5', requestsPerS: 1.5, ageMs: 40 }],
  cutOffServices: ['lookup'],
  statements: [
    {
      incarnation: 's3 5',
      service: 'a',
      type: 'brittle',
      value: 3,
      ageMs: 200,
      relay: undefined,
    },
  ],
})

const MESSAGES = [
  REPORT,
  encodePermitMessage({
    type: 'ask',
    asker: 'n2',
    ask: {
      id: 7,
      incarnation: 's1 5',
      requestsPerS: 0.5,
      ageMs: 120,
      count: 3,
      urgency: 2,
    },
  }),
  encodePermitMessage({ type: 'grant', id: 7, grant: { count: 2, retryAfterMs: 0 } }),
  encodePlaceDatagram({
    type: 'use',
    sender: 'n2',
    message: {
      incarnation: 's2 5',
      running: 2,
      slots: 6,
      refusals: 1,
      askId: 7,
      isDeputy: false,
      resolvedAskId: 6,
      sequence: 9,
    },
  }),
  encodePlaceDatagram({ type: 'answer', askId: 7, granted: true }),
].map((datagram) => JSON.parse(datagram.toString()) as unknown)

const uint32 = fc.oneof(
  fc.constantFrom(0, 1, 9, 10, MAX_UINT32 - 1, MAX_UINT32),
  fc.nat({ max: MAX_UINT32 }),
)
const hash = fc.oneof(fc.constantFrom(...['s1', 's2', 's3'].map(hash32)), uint32)
const double = fc.oneof(fc.constantFrom(4, 9, 2 ** 53), fc.double())
const name = fc.constantFrom('', 'n1', 'n2', 'n3', 'z1', 'config', 'large', '\0')

const loadMessage = fc
  .record({
    scope: fc.constantFrom<LoadReport_Scope[]>(0, 1, 2, 3, 7 as LoadReport_Scope),
    sender: name,
    zone: name,
    intervalMs: uint32,
    wantsFleet: fc.boolean(),
    instances: uint32,
    firstHash: uint32,
    lastHash: uint32,
    servers: fc.array(hash, { maxLength: 5 }),
    running: fc.array(uint32, { maxLength: 5 }),
    levels: fc.array(fc.oneof(fc.nat({ max: 10 }), uint32), { maxLength: 12 }),
    waitingMs: fc.array(uint32, { maxLength: 12 }),
    speeds: fc.array(
      fc.record({
        model: name,
        msPerToken: fc.array(fc.float(), { maxLength: 8 }),
        instances: fc.array(uint32, { maxLength: 8 }),
      }),
      { maxLength: 2 },
    ),
    marks: fc.array(
      fc.record({
        kind: name,
        era: uint32,
        changedAt: double,
        asOf: double,
        ageMs: uint32,
        hops: uint32,
      }),
      { maxLength: 2 },
    ),
  })
  .map((fields) => {
    const encoded = toBinary(LoadReportSchema, create(LoadReportSchema, fields))
    return Buffer.concat([Buffer.of(LOAD_BYTE), encoded])
  })

/** A message of ours with some bytes replaced, or cut short. */
const spoiltBytes = fc
  .tuple(
    fc.oneof(loadMessage, fc.constant(REPORT)),
    fc.array(fc.tuple(fc.nat(), fc.nat({ max: 255 })), { maxLength: 6 }),
    fc.option(fc.nat()),
  )
  .map(([datagram, changes, end]) => {
    const bytes = Buffer.from(datagram)
    for (const [position, byte] of changes) bytes[position % bytes.length] = byte
    return end === null ? bytes : bytes.subarray(0, end % bytes.length)
  })

const datagram = fc.oneof(
  fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
  fc.json().map((text) => Buffer.from(text)),
  ...MESSAGES.map((message) => mutatedJson(message).map((text) => Buffer.from(text))),
  // Most of the fields are in the report.
  mutatedJson(MESSAGES[0]).map((text) => Buffer.from(text)),
  loadMessage,
  spoiltBytes,
)

describe('random datagrams', () => {
  it('are left out, or leave tables that timers and requests can use', async () => {
    let readCount = 0
    const property = fc.asyncProperty(
      fc.array(datagram, { minLength: 1, maxLength: 8 }),
      async (datagrams) => {
        const receiver = FuzzedReceiver.create()
        for (const bytes of datagrams) if (receiver.receive(bytes)) readCount += 1
        await receiver.run()
      },
    )
    await fc.assert(property, { numRuns: RUNS, seed: SEED })
    // Otherwise the tables were hardly tried.
    assert.ok(readCount > RUNS, `${readCount} of the datagrams could be read`)
  })
})
