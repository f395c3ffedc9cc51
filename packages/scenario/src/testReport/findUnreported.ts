/** Finds tests whose results are missing from the report of Node's test runner. */

/** The fields of the runner's events that are used here. */
export interface TestEvent {
  readonly type: string
  readonly data: {
    readonly name?: string
    readonly nesting?: number
    readonly file?: string
    readonly message?: string
  }
}

export interface ReportSummary {
  readonly fileCount: number
  readonly resultCount: number
  /** Files without any result, and tests that were begun and have none. */
  readonly missing: readonly string[]
}

/**
 * Compares what was begun with what was reported. A file whose process exits early, by itself
 * or by force, is reported as passed without its remaining results.
 *
 * @example
 * findUnreported(events).missing // ['a.spec.js: no result', 'b.spec.js: sends once']
 */
export function findUnreported(events: readonly TestEvent[]): ReportSummary {
  const files: string[] = []
  const reportedFiles = new Set<string>()
  const open = new Map<string, number>()
  let resultCount = 0
  for (const { type, data } of events) {
    const { name = '', nesting = 0, file = '' } = data
    // The runner's own entry for a file has the file's name.
    if (name === file) {
      if (type === 'test:enqueue') files.push(file)
      continue
    }
    const key = `${file}: ${' > '.repeat(nesting)}${name}`
    if (type === 'test:enqueue') open.set(key, (open.get(key) ?? 0) + 1)
    if (type !== 'test:pass' && type !== 'test:fail') continue
    resultCount += 1
    reportedFiles.add(withoutBuild(file))
    open.set(key, (open.get(key) ?? 0) - 1)
  }
  const silentFiles = files.filter((file) => !reportedFiles.has(withoutBuild(file)))
  const openTests = [...open].filter(([, count]) => count > 0).map(([key]) => key)
  return {
    fileCount: files.length,
    resultCount,
    missing: [...silentFiles.map((file) => `${file}: no result`), ...openTests],
  }
}

/** Path that is the same for a source and for what it is compiled to: results name the source. */
function withoutBuild(file: string): string {
  return file.replace(/\/(dist|src)\//, '/').replace(/\.[cm]?[jt]s$/, '')
}
