/** `wagtailwayctl withdraw`: withdraws a version without editing a file. */
import { randomUUID } from 'node:crypto'
import {
  readConfigState,
  versionKey,
  type ConfigState,
  type ObjectStore,
  type SourcedDocument,
  type WithdrawalDeclaration,
} from '@wagtailway/core'
import { EXIT } from '../exitCodes.js'
import { unavailableReport, type Report } from '../report.js'
import { applyDocuments, type ApplyOptions } from './apply.js'
import { describeError } from './plan.js'

/** Maximum number of attempts while other changes of the same owner interfere. */
const MAX_ATTEMPTS = 8

/**
 * Adds a withdrawal to the stored document of the model's owner.
 *
 * @example
 * await withdraw(store, { model: 'summariser', version: 'v2', reason: 'ranks twice' })
 */
export async function withdraw(
  store: ObjectStore,
  withdrawal: WithdrawalDeclaration,
  opts: Pick<ApplyOptions, 'prepareAnnouncement'> = {},
): Promise<Report> {
  const changeId = randomUUID()
  let report = unavailableReport('not withdrawn', 'no attempt was made')
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const state = await readConfigState(store)
    if (state.err) return unavailableReport('not withdrawn', describeError(state.val))
    const changed = addWithdrawal(state.val, withdrawal)
    if (!changed) return unknownVersion(state.val, withdrawal)
    report = await applyDocuments(store, [changed], {
      ...opts,
      changeId,
      acceptMoves: true,
      acceptErrors: true,
    })
    // Refused because of another change of the same owner: retry on top of that change.
    if (report.code !== EXIT.refused) return report
  }
  return report
}

function addWithdrawal(
  { inForce, stored }: ConfigState,
  withdrawal: WithdrawalDeclaration,
): SourcedDocument | undefined {
  const model = inForce.models.find(({ name }) => name === withdrawal.model)
  if (!model?.versions.some(({ name }) => name === withdrawal.version)) return undefined
  const sourced = stored.documents.find(({ document }) => document.owner === model.owner)
  if (!sourced) return undefined
  const { withdrawals } = sourced.document
  const key = keyOf(withdrawal)
  if (withdrawals.some((other) => keyOf(other) === key)) return sourced
  const document = { ...sourced.document, withdrawals: [...withdrawals, withdrawal] }
  return { ...sourced, document }
}

function keyOf({ model, version }: WithdrawalDeclaration): string {
  return versionKey(model, version)
}

function unknownVersion(
  { inForce }: ConfigState,
  requested: WithdrawalDeclaration,
): Report {
  const known = inForce.models.flatMap((m) =>
    m.versions.map((v) => versionKey(m.name, v.name)),
  )
  const message = `no model in force has the version ${keyOf(requested)}; known versions are ${known.join(', ')}`
  const data = { error: 'unknown_version', message }
  return { code: EXIT.notFound, lines: [message], data }
}
