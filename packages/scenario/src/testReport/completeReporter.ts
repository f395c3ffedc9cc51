/** Reporter for `node --test` that fails the run if results are missing from it. */
import { findUnreported, type TestEvent } from './findUnreported.js'

/** Begins the summary of a run; with a forced exit its end may not be written. */
const SUMMARY_MESSAGE = /^tests \d+$/

/** Yields one line about the report; makes the run exit with 1 if it is not complete. */
export default async function* report(
  source: AsyncIterable<TestEvent>,
): AsyncGenerator<string> {
  const events: TestEvent[] = []
  for await (const event of source) {
    events.push(event)
    const { message, nesting } = event.data
    const isSummary = event.type === 'test:diagnostic' && nesting === 0
    if (!isSummary || !SUMMARY_MESSAGE.test(message ?? '')) continue
    const { fileCount, resultCount, missing } = findUnreported(events)
    if (missing.length > 0) process.exitCode = 1
    const list = missing.map((line) => `  missing: ${line}\n`).join('')
    yield `${resultCount} results of ${fileCount} test files were reported\n${list}`
  }
}
