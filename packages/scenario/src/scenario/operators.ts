/** Operators who change declarations during a run. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import {
  declarationSchema,
  documentSchema,
  type DeclarationDocument,
} from '@wagtailway/core'
import { apply } from '@wagtailway/ctl'
import { PlatformClient } from '@wagtailway/platform'
import { stringify } from 'yaml'
import type { Deployment } from '../harness/deployment.js'
import { noteConfig } from './observer.js'
import type { RunLog } from './runLog.js'

/** Every operator applies one document at the same moment, each from a machine of its own. */
export async function applyAll(
  deployment: Deployment,
  log: RunLog,
  documents: readonly unknown[],
): Promise<void> {
  await Promise.all(
    documents.map(async (document) => {
      const { owner } = documentSchema.parse(document)
      const code = await applyOne(deployment.platformUrl, document)
      log.changes.push({ owner, document, accepted: code === 0 })
    }),
  )
  await noteConfig(deployment, log)
}

/** The owner of a model withdraws one of its versions. */
export async function withdraw(
  deployment: Deployment,
  log: RunLog,
  versionKey: string,
): Promise<void> {
  const [model = '', version = ''] = versionKey.split('@')
  const document = await declarationOf(deployment, model)
  const withdrawal = { model, version, reason: 'withdrawn by the scenario' }
  const withdrawals = [...document.withdrawals, withdrawal]
  await applyAll(deployment, log, [{ ...document, withdrawals }])
}

/** The document that declares a model. */
async function declarationOf(
  deployment: Deployment,
  model: string,
): Promise<DeclarationDocument> {
  const path = '/admin/objects/declaration'
  const objects = await deployment.admin(deployment.platform, 'GET', path)
  const documents = (objects as { value: unknown }[]).map((o) =>
    documentSchema.parse(declarationSchema.parse(o.value).document),
  )
  const found = documents.find(({ models }) => models.some(({ name }) => name === model))
  if (!found) throw new Error(`no document declares model "${model}"`)
  return found
}

/** Runs `wagtailwayctl apply` on one document; resolves to its exit code. */
async function applyOne(platformUrl: string, document: unknown): Promise<number> {
  const folder = await mkdtemp(join(tmpdir(), 'wagtailway-scenario-'))
  const client = PlatformClient.create({ url: platformUrl })
  try {
    const file = join(folder, 'document.yaml')
    await writeFile(file, stringify(document))
    return await apply(client, [file], () => undefined, { acceptMoves: true })
  } finally {
    client.close()
    await rm(folder, { recursive: true })
  }
}
