import assert from 'node:assert/strict'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import {
  CONFIG_OBJECT,
  MemoryStore,
  effectiveConfigSchema,
  ownerStatusSchema,
  type CallFault,
  type EffectiveConfig,
} from '@wagtailway/core'
import { applyFiles } from '../commands/apply.js'
import { check } from '../commands/check.js'
import { plan } from '../commands/plan.js'
import { withdraw } from '../commands/withdraw.js'
import { EXIT } from '../exitCodes.js'

const GEBETA = fileURLToPath(new URL('../../../../playground/gebeta/', import.meta.url))
const FILES = ['root', 'models', 'kebele', 'panel'].map((name) => `${GEBETA}${name}.yaml`)

let folder = ''
before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailwayctl-'))
})
after(() => rm(folder, { recursive: true }))

/** Copies a file of the playground with one change. */
async function changed(name: string, from: string, to: string): Promise<string> {
  const text = await readFile(`${GEBETA}${name}.yaml`, 'utf8')
  assert.ok(text.includes(from))
  const file = join(folder, `${name}-${to.replace(/\W/g, '')}.yaml`)
  await writeFile(file, text.replace(from, to))
  return file
}

async function createSeededStore(
  faults?: (operation: string) => CallFault,
): Promise<MemoryStore> {
  const store = MemoryStore.create(faults)
  const report = await applyFiles(store, FILES)
  assert.equal(report.code, EXIT.ok, report.lines.join('\n'))
  return store
}

async function configInForce(store: MemoryStore): Promise<EffectiveConfig> {
  const read = await store.get('config', CONFIG_OBJECT)
  return effectiveConfigSchema.parse(read.unwrap()?.value)
}

describe('wagtailwayctl check', () => {
  it('accepts the playground', async () => {
    assert.equal((await check(FILES)).code, EXIT.ok)
  })

  it('reports the findings of every file at once, with line, rule and owner', async () => {
    const panel = await changed('panel', 'model: summariser', 'model: nothing')
    const kebele = await changed('kebele', 'target: 0.6', 'target: 6')
    const files = [...FILES.slice(0, 2), kebele, panel, join(folder, 'missing.yaml')]
    const { code, lines } = await check(files)
    assert.equal(code, EXIT.findings)
    const text = lines.join('\n')
    assert.match(text, /kebele\S*\.yaml:11 classes\[0\]\.quality\.target \[schema\]/)
    assert.match(text, /panel\S*\.yaml:10 \S+ \[unknown_reference\] .*panel-office/)
    assert.match(text, /missing\.yaml .*cannot be read/)
  })
})

describe('wagtailwayctl plan', () => {
  it("shows another owner's traffic that would move, and writes nothing", async () => {
    const store = await createSeededStore()
    const puts = store.callCount('put')
    const models = await changed(
      'models',
      'expectedQuality: 0.7',
      'expectedQuality: 0.85',
    )
    const report = await plan(store, [models])
    assert.equal(report.code, EXIT.ok)
    assert.match(
      report.lines.join('\n'),
      /OTHERS panel\/dossier \[first_choice_changed\] summariser@large -> summariser@small/,
    )
    assert.equal(store.callCount('put'), puts)
  })
})

describe('wagtailwayctl apply', () => {
  it("refuses to move other owners' traffic until that is accepted", async () => {
    const store = await createSeededStore()
    const revision = (await store.get('config', CONFIG_OBJECT)).unwrap()?.revision
    const models = await changed(
      'models',
      'expectedQuality: 0.7',
      'expectedQuality: 0.86',
    )
    const refused = await applyFiles(store, [models])
    assert.equal(refused.code, EXIT.refused)
    const unchanged = (await store.get('config', CONFIG_OBJECT)).unwrap()?.revision
    assert.equal(unchanged, revision)
    const accepted = await applyFiles(store, [models], { acceptMoves: true })
    assert.equal(accepted.code, EXIT.ok)
    const status = (await store.get('status', 'panel-office')).unwrap()?.value
    const { moved } = ownerStatusSchema.parse(status)
    assert.equal(moved[0]?.after, 'summariser@small')
  })

  it('writes nothing if its own documents have errors', async () => {
    const store = await createSeededStore()
    const puts = store.callCount('put')
    const panel = await changed('panel', 'model: summariser', 'model: other')
    assert.equal((await applyFiles(store, [panel])).code, EXIT.findings)
    assert.equal(store.callCount('put'), puts)
  })

  it('recognises its own write when the confirmation was lost', async () => {
    let nextPutFault: CallFault = 'none'
    const store = await createSeededStore((operation) => {
      const fault = nextPutFault
      if (operation === 'put') nextPutFault = 'none'
      return operation === 'put' ? fault : 'none'
    })
    nextPutFault = 'unconfirmed'
    const kebele = await changed('kebele', 'target: 0.6', 'target: 0.65')
    const report = await applyFiles(store, [kebele])
    assert.equal(report.code, EXIT.ok, report.lines.join('\n'))
    const cls = (await configInForce(store)).classes.find(
      ({ name }) => name === 'queue-check',
    )
    assert.equal(cls?.quality.target, 0.65)
  })

  it('never overwrites a change of the same owner that it has not read', async () => {
    const rival = await changed('kebele', 'target: 0.6', 'target: 0.61')
    const late = await changed('kebele', 'target: 0.6', 'target: 0.62')
    let race: (() => Promise<unknown>) | undefined
    const store = await createSeededStore()
    const get = store.get.bind(store)
    // The rival's change is stored after the late one has read the state.
    store.get = async (kind, name) => {
      const read = await get(kind, name)
      const run = kind === 'declaration' ? race : undefined
      if (run) race = undefined
      await run?.()
      return read
    }
    race = () => applyFiles(store, [rival])
    const report = await applyFiles(store, [late])
    assert.equal(report.code, EXIT.refused, report.lines.join('\n'))
    assert.match(report.lines.join('\n'), /changed meanwhile by change/)
    const cls = (await configInForce(store)).classes.find(
      ({ name }) => name === 'queue-check',
    )
    assert.equal(cls?.quality.target, 0.61)
  })

  it('refuses a plan that is older than the document', async () => {
    const store = await createSeededStore()
    const base = Number((await plan(store, FILES)).data['base'])
    const first = await changed('kebele', 'target: 0.6', 'target: 0.63')
    assert.equal((await applyFiles(store, [first], { base })).code, EXIT.ok)
    const second = await changed('kebele', 'target: 0.6', 'target: 0.64')
    assert.equal((await applyFiles(store, [second], { base })).code, EXIT.refused)
  })

  it('keeps the changes of two owners who apply at the same time', async () => {
    const store = await createSeededStore()
    const kebele = await changed('kebele', 'target: 0.6', 'target: 0.66')
    const panel = await changed('panel', 'target: 0.8', 'target: 0.81')
    const reports = await Promise.all([
      applyFiles(store, [kebele]),
      applyFiles(store, [panel]),
    ])
    assert.deepEqual(
      reports.map(({ code }) => code),
      [EXIT.ok, EXIT.ok],
    )
    const targets = (await configInForce(store)).classes.map(
      ({ quality }) => quality.target,
    )
    assert.deepEqual(targets, [0.66, 0.81])
  })

  it('reports that nothing was written while the platform is unavailable', async () => {
    const store = MemoryStore.create(() => 'lost')
    const report = await applyFiles(store, FILES)
    assert.equal(report.code, EXIT.unavailable)
    assert.match(report.lines.join('\n'), /nothing written/)
  })
})

describe('wagtailwayctl withdraw', () => {
  const bad = { model: 'summariser', version: 'large', reason: 'ranks twice' }

  it('withdraws at once; a second withdrawal of the version changes nothing', async () => {
    const store = await createSeededStore()
    assert.equal((await withdraw(store, bad)).code, EXIT.ok)
    const { withdrawals } = await configInForce(store)
    assert.deepEqual(withdrawals, [{ ...bad, owner: 'model-office' }])
    assert.equal((await withdraw(store, bad)).code, EXIT.ok)
    assert.equal((await configInForce(store)).withdrawals.length, 1)
  })

  it('is applied on top of a concurrent change of the same owner', async () => {
    const store = await createSeededStore()
    const models = await changed('models', 'idempotent: true', 'idempotent: false')
    const reports = await Promise.all([
      withdraw(store, bad),
      applyFiles(store, [models], { acceptMoves: true }),
    ])
    assert.equal(reports[0].code, EXIT.ok)
    assert.equal((await configInForce(store)).withdrawals.length, 1)
  })

  it('announces the revision after the platform has confirmed it', async () => {
    const store = await createSeededStore()
    const before = (await store.get('config', CONFIG_OBJECT)).unwrap()?.revision ?? 0
    const announced: number[] = []
    const report = await withdraw(store, bad, {
      prepareAnnouncement: () =>
        Promise.resolve((revision) => {
          announced.push(revision)
          return Promise.resolve({ told: 3, listed: 4 })
        }),
    })
    assert.match(report.lines.join('\n'), /told 3 of 4 entry instances/)
    assert.deepEqual(announced, [report.data['revision']])
    assert.ok(announced.every((revision) => revision > before))
  })

  it('announces nothing that the platform has not confirmed', async () => {
    let isDown = false
    const store = await createSeededStore(() => (isDown ? 'lost' : 'none'))
    const announced: number[] = []
    const report = await withdraw(store, bad, {
      prepareAnnouncement: () => {
        isDown = true
        return Promise.resolve((revision) => {
          announced.push(revision)
          return Promise.resolve({ told: 0, listed: 0 })
        })
      },
    })
    assert.equal(report.code, EXIT.unavailable)
    assert.deepEqual(announced, [])
  })

  it('is not undone by a file that lacks it', async () => {
    const store = await createSeededStore()
    await withdraw(store, bad)
    const models = await changed('models', 'idempotent: true', 'idempotent: false')
    const refused = await applyFiles(store, [models], { acceptMoves: true })
    assert.equal(refused.code, EXIT.refused)
    assert.match(
      refused.lines.join('\n'),
      /summariser@large would be withdrawn no longer/,
    )
    assert.equal((await configInForce(store)).withdrawals.length, 1)
    const opts = { acceptMoves: true, reinstate: true }
    assert.equal((await applyFiles(store, [models], opts)).code, EXIT.ok)
    assert.equal((await configInForce(store)).withdrawals.length, 0)
  })

  it('refuses a version that no model has', async () => {
    const store = await createSeededStore()
    const report = await withdraw(store, { ...bad, version: 'huge' })
    assert.equal(report.code, EXIT.notFound)
  })
})
