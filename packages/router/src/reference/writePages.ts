/** Writes the reference pages into the docs of the repository. */
import { writeFile } from 'node:fs/promises'
import { referencePages } from './referencePages.js'

/** Folder of the pages, relative to the compiled module. */
export const DOCS_URL = new URL('../../../../docs/', import.meta.url)

/** Writes every page. */
export async function writePages(): Promise<void> {
  for (const [name, text] of await referencePages()) {
    await writeFile(new URL(name, DOCS_URL), text)
  }
}
