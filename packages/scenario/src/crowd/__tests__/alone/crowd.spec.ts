/**
 * Crowds of clients that keep to no limit, against a real process. The checks don't depend on
 * the speed of the machine; run apart from other tests, as `npm test` does, since the crowds
 * are large.
 */
import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { after, describe, it, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHeaders } from '@wagtailway/standins'
import { sendToFleet } from '../../../fleet/fleetClient.js'
import { waitUntil } from '../../../fleet/gatewayHarness.js'
import { MemoryFleet } from '../../../fleet/memoryFleet.js'
import { Crowd } from '../../crowd.js'
import { CROWD_FORMS, type CrowdForm, type CrowdTarget } from '../../crowdForms.js'
import { openDescriptors, peakMb, resetPeak } from '../../processUse.js'

/** Limits of the process, lowered so that a small crowd shows what a large one does. */
const LIMITS = { memoryMb: 178, heapMb: 48, fileLimit: 700 }

/** Bounds of the process, in megabytes and descriptors. */
const MAX_MB = 170
const MAX_DESCRIPTORS = 650

/** Time for which a crowd is held, and interval of the measurements, in milliseconds. */
const HOLD_MS = 200
const MEASURE_MS = 20

const NO_HEADERS = (): Record<string, string> => ({})
const CALLER_HEADERS = (id: string): Record<string, string> =>
  callerHeaders({ requestId: id, waitMs: 9_000 })

type Ports = MemoryFleet['gateway']['opts']['ports']

const TARGETS: Readonly<Record<string, (ports: Ports) => CrowdTarget>> = {
  'a route': ({ callers }) => ({
    port: callers,
    path: '/plain/ID',
    headers: CALLER_HEADERS,
  }),
  'no route': ({ callers }) => ({
    port: callers,
    path: '/nowhere/ID',
    headers: CALLER_HEADERS,
  }),
  'the readiness address': ({ readiness }) => ({
    port: readiness,
    path: '/-/readiness',
    headers: NO_HEADERS,
  }),
  'the control address': ({ control }) => ({
    port: control,
    path: '/feed/config?after=0',
    headers: NO_HEADERS,
  }),
  'the relay port': ({ peers }) => ({ port: peers, path: '/', headers: NO_HEADERS }),
  'the metrics address': ({ metrics }) => ({
    port: metrics,
    path: '/metrics',
    headers: NO_HEADERS,
  }),
}

let fleet: MemoryFleet | undefined

async function closeFleet(): Promise<void> {
  await fleet?.close()
  fleet = undefined
}

/** A running process; that of the case before unless it failed. */
async function runningFleet(): Promise<MemoryFleet> {
  fleet ??= await MemoryFleet.create(LIMITS)
  return fleet
}

/** Whether a caller of a route, and one of the same address as the crowd, are answered. */
async function serves(running: MemoryFleet, port: number): Promise<boolean> {
  if (!running.gateway.isRunning) return true
  // A kept connection would not wait behind those of the crowd to be accepted.
  const agent = new Agent({ keepAlive: false })
  const [{ status }, other] = await Promise.all([
    running.sendSound(agent),
    sendToFleet({ port, path: '/', timeoutMs: 2_000, agent }),
  ])
  return status === 200 && other.status > 0
}

async function play(
  form: CrowdForm,
  targetOf: (ports: Ports) => CrowdTarget,
  t: TestContext,
): Promise<void> {
  const running = await runningFleet()
  const { gateway } = running
  const target = targetOf(gateway.opts.ports)
  const pid = gateway.pid ?? 0
  await resetPeak(pid)
  let descriptors = 0
  let isOver = false
  const measured = (async (): Promise<void> => {
    while (!isOver && gateway.isRunning) {
      descriptors = Math.max(descriptors, await openDescriptors(pid).catch(() => 0))
      await sleep(MEASURE_MS)
    }
  })()
  const crowd = await Crowd.create(form, target)
  try {
    // The first one shows that the crowd has been accepted, the second one that it was borne.
    for (const holdMs of [0, HOLD_MS]) {
      await sleep(holdMs)
      await waitUntil(() => serves(running, target.port)).catch((err: unknown) => {
        assert.fail(`no ordinary request was answered: ${String(err)}`)
      })
    }
    const isRunning = gateway.isRunning
    const peak = isRunning ? await peakMb(pid) : Number.NaN
    t.diagnostic(`${Math.round(peak)} MB, ${descriptors} descriptors`)
    assert.ok(isRunning, `the process ended with ${descriptors} descriptors`)
    assert.ok(peak < MAX_MB, `${peak} MB at the peak`)
    const { maxDescriptors = MAX_DESCRIPTORS } = form
    assert.ok(descriptors < maxDescriptors, `${descriptors} descriptors`)
  } finally {
    isOver = true
    crowd.close()
    await measured
  }
}

after(closeFleet)

// Guards against: clients outside the limits, each with little, take the process's memory or its
// descriptors together, so that it ends or serves nobody.
for (const [targetName, targetOf] of Object.entries(TARGETS)) {
  describe(`a crowd at ${targetName}`, () => {
    after(closeFleet)
    for (const [formName, form] of Object.entries(CROWD_FORMS)) {
      it(`with ${formName} leaves the process alive and serving`, async (t) => {
        try {
          await play(form, targetOf, t)
        } catch (err) {
          await closeFleet()
          throw err
        }
      })
    }
  })
}
