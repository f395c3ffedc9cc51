import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { copyFile, mkdir, mkdtemp, readFile, readdir, rm } from 'node:fs/promises'
import { builtinModules } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet } from '../../fleet/fleetClient.js'
import { waitUntil } from '../../fleet/gatewayHarness.js'
import { DaemonProcess, createGatewayPlace } from '../daemonProcess.js'

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const BUNDLE = 'wagtailway-gateway.mjs'

let folder: string
/** A folder with nothing but the bundle. */
let emptyFolder: string

/** The command of the deploy file that bundles the compiled gateway into `target/`. */
async function bundleCommand(): Promise<string> {
  const deployFile = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8')
  const line = /^build = (".*")$/m.exec(deployFile)?.[1] ?? '""'
  // A basic string of TOML with these escapes is a string of JSON, too.
  const command = (JSON.parse(line) as string)
    .split('&&')
    .find((part) => part.includes('esbuild'))
  if (!command?.includes('--outfile=target/')) throw new Error(`no bundle: ${line}`)
  return command
}

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'wagtailway-bundle-'))
  emptyFolder = join(folder, 'empty')
  await mkdir(emptyFolder)
  const command = (await bundleCommand()).replace(
    '--outfile=target/',
    `--outfile=${folder}/`,
  )
  await promisify(execFile)('bash', ['-c', command], { cwd: ROOT })
  await copyFile(join(folder, BUNDLE), join(emptyFolder, BUNDLE))
})

after(async () => {
  await rm(folder, { recursive: true, force: true })
})

// Guards against: a start reads files outside target/, which another build replaces just then,
// and ends with ERR_MODULE_NOT_FOUND.
describe('the bundle of the deploy file, alone in a folder', () => {
  it('shows its help and ends with 0', async () => {
    const daemon = DaemonProcess.create([BUNDLE, '--help'], emptyFolder)
    assert.deepEqual(await daemon.ended, { status: 0, signal: null }, daemon.stderr)
    assert.match(daemon.stdout, /--settings/)
    assert.deepEqual(await readdir(emptyFolder), [BUNDLE])
  })

  it('serves', async () => {
    const store = await StoreStandin.create()
    store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
    const replica = await ReplicaStandin.create({ id: 'p1' })
    store.put('servers', 'p1', replica.entry())
    const place = await createGatewayPlace({ storePort: store.port, graceS: 4 })
    const daemon = DaemonProcess.create([BUNDLE, ...place.args], emptyFolder)
    try {
      await waitUntil(() => {
        assert.ok(daemon.isRunning, daemon.stderr)
        return place.isReady()
      })
      const { status } = await sendToFleet({
        port: place.callerPort,
        path: '/plain/1',
        headers: callerHeaders({ requestId: '1' }),
      })
      assert.equal(status, 200)
      daemon.signal('SIGTERM')
      assert.deepEqual(await daemon.ended, { status: 0, signal: null }, daemon.stderr)
    } finally {
      await daemon.close()
      await place.close()
      await replica.close()
      await store.close()
    }
  })

  it('handles signals before the code of any library runs', async () => {
    const code = await readFile(join(emptyFolder, BUNDLE), 'utf8')
    const handlersAt = code.indexOf('SIGHUP')
    assert.ok(handlersAt > 0)
    for (const library of ['wagtailway-gateway', '$ZodError']) {
      const at = code.indexOf(library)
      assert.ok(at > handlersAt, `${library} at ${at}, handlers at ${handlersAt}`)
    }
  })

  it('names nothing outside itself but modules of the runtime', async () => {
    const code = await readFile(join(emptyFolder, BUNDLE), 'utf8')
    const specifiers = [
      ...code.matchAll(/^(?:import|export)[^'"]*?from ?["']([^"']+)["']/gm),
    ]
    const outside = specifiers.map(([, name = '']) => name)
    assert.ok(outside.length > 0)
    const builtins = new Set(builtinModules.flatMap((name) => [name, `node:${name}`]))
    assert.deepEqual(
      outside.filter((name) => !builtins.has(name)),
      [],
    )
  })
})
