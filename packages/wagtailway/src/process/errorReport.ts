/** What an operator is told about an error: its text, its stack and its place, all bounded. */

const MAX_TEXT = 500

/** Longest stack, in characters: some forty frames. */
const MAX_STACK = 4_000

/** Frames of the runtime and of libraries, which are not the place of an error. */
const FOREIGN_FRAME = /node:|node_modules/

const FRAME = /^\s*at (?:(.+?) \()?(?:file:\/\/)?([^()]+?):(\d+):(\d+)\)?$/

export interface ErrorReport {
  readonly err: string
  readonly stack: string | undefined
  /** Function, file and line of the first frame of the program; `unknown` without one. */
  readonly place: string
}

/**
 * Describes anything that was thrown.
 *
 * @example
 * reportOf(new Error('no list')).place // 'FeedState.applyList feedState.js:212:7'
 */
export function reportOf(thrown: unknown): ErrorReport {
  const stack = stackOf(thrown)
  return {
    err: textOf(thrown).slice(0, MAX_TEXT),
    stack: stack?.slice(0, MAX_STACK),
    place: placeOf(stack),
  }
}

/** Stack of an error; code may have replaced it by anything. */
function stackOf(thrown: unknown): string | undefined {
  try {
    const stack: unknown = thrown instanceof Error ? thrown.stack : undefined
    return typeof stack === 'string' ? stack : undefined
  } catch {
    return undefined
  }
}

/** Text of anything that was thrown, also of an object that has none. */
function textOf(thrown: unknown): string {
  try {
    return String(thrown)
  } catch {
    return typeof thrown
  }
}

function placeOf(stack = ''): string {
  const frames = stack.split('\n').filter((line) => FRAME.test(line))
  const frame = frames.find((line) => !FOREIGN_FRAME.test(line)) ?? frames[0]
  const [, name, path = '', line = '', column = ''] = FRAME.exec(frame ?? '') ?? []
  if (path === '') return 'unknown'
  const file = path.slice(path.lastIndexOf('/') + 1)
  return [name, `${file}:${line}:${column}`].filter(Boolean).join(' ')
}
