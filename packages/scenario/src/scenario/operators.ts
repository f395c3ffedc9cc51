/** Operators that change declarations during a run. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import {
  declarationSchema,
  documentSchema,
  type DeclarationDocument,
} from '@wagtailway/core'
import { apply, createAnnouncements } from '@wagtailway/ctl'
import { PlatformClient } from '@wagtailway/platform'
import { stringify } from 'yaml'
import type { Deployment } from '../harness/deployment.js'
import { recordConfig } from './observer.js'
import type { RunLog } from './runLog.js'

/**
 * Applies documents concurrently, one operator per document, each with a folder and a
 * client of its own.
 */
export async function applyDocuments(
  deployment: Deployment,
  log: RunLog,
  documents: readonly unknown[],
): Promise<void> {
  await Promise.all(
    documents.map(async (document) => {
      const { owner } = documentSchema.parse(document)
      const code = await applyDocument(deployment.platformUrl, log, document)
      log.changes.push({ owner, document, accepted: code === 0 })
    }),
  )
  await recordConfig(deployment, log)
}

/** Withdraws a version by applying a changed document of the model's owner. */
export async function withdraw(
  deployment: Deployment,
  log: RunLog,
  versionKey: string,
): Promise<void> {
  const [model = '', version = ''] = versionKey.split('@')
  const document = await findDeclaration(deployment, model)
  const withdrawal = { model, version, reason: 'withdrawn by the scenario' }
  const withdrawals = [...document.withdrawals, withdrawal]
  await applyDocuments(deployment, log, [{ ...document, withdrawals }])
}

/** The document that declares a model. */
async function findDeclaration(
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
async function applyDocument(
  platformUrl: string,
  log: RunLog,
  document: unknown,
): Promise<number> {
  const folder = await mkdtemp(join(tmpdir(), 'wagtailway-scenario-'))
  const client = PlatformClient.create({ url: platformUrl })
  try {
    const file = join(folder, 'document.yaml')
    await writeFile(file, stringify(document))
    return await apply(client, [file], () => undefined, {
      acceptMoves: true,
      prepareAnnouncement: async () => {
        const announce = await createAnnouncements(client)()
        return (revision) => {
          log.addStoredChange()
          return announce(revision)
        }
      },
    })
  } finally {
    client.close()
    await rm(folder, { recursive: true })
  }
}
