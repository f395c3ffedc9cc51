/** Finds the place in our code that registers a callback with the runtime. */

/** Functions of the runtime that pass a caller's own callback on. */
const REGISTERING =
  /^(on|once|addListener|prependListener|prependOnceListener|socketListenerWrap|catch|finally)$/

/** Files whose callers are the places, as they register callbacks for others. */
const HELPERS = /\/(csp\/timers|forward\/timer|transfer\/(readBytes|discardBody))\.js$/

/** Its functions stand between a caller and the runtime. */
const WRAPPING_FILE = new URL('./wrapRuntime.js', import.meta.url).href

const MAX_FRAMES = 12

/** Frames in which a caller is looked for that is left alone. */
const NEAREST_FRAMES = 4

// eslint-disable-next-line @typescript-eslint/no-unsafe-function-type -- as in captureStackTrace
type AnyFunction = Function

export interface FindOptions {
  /** Place of the callback that is running, for helpers without another caller. */
  readonly running: string | undefined
  /** Returns whether what one of the nearest callers registers is left alone. */
  readonly isExcluded: (caller: string) => boolean
}

/**
 * Returns the place that calls a function, such as `gateway/dist/a.js:12 Caller.close`, if
 * that is our code: neither the runtime nor a library.
 *
 * @param callee Function whose caller is wanted.
 *
 * @example
 * function register(callback) { const place = findPlace(register, options) }
 */
export function findPlace(
  callee: AnyFunction,
  { running, isExcluded }: FindOptions,
): string | undefined {
  const frames = captureFrames(callee)
  const first = frames.findIndex((frame) => !isRegistering(frame))
  const frame = frames[first]
  if (!frame || !isOwn(frame)) return undefined
  const nearest = frames.slice(first, first + NEAREST_FRAMES).map(describe)
  if (nearest.some(isExcluded)) return undefined
  if (!HELPERS.test(fileOf(frame))) return describe(frame)
  const caller = frames
    .slice(first + 1)
    .find((candidate) => isOwn(candidate) && !HELPERS.test(fileOf(candidate)))
  const owner = caller ? describe(caller) : running
  return owner === undefined ? describe(frame) : `${owner} via ${describe(frame)}`
}

function captureFrames(callee: AnyFunction): NodeJS.CallSite[] {
  const { prepareStackTrace, stackTraceLimit } = Error
  const holder: { stack?: NodeJS.CallSite[] } = {}
  try {
    Error.stackTraceLimit = MAX_FRAMES
    Error.prepareStackTrace = (_, frames) => frames
    Error.captureStackTrace(holder, callee)
    return holder.stack ?? []
  } finally {
    Error.prepareStackTrace = prepareStackTrace
    Error.stackTraceLimit = stackTraceLimit
  }
}

function fileOf(frame: NodeJS.CallSite): string {
  return frame.getFileName() ?? ''
}

function isRegistering(frame: NodeJS.CallSite): boolean {
  const file = fileOf(frame)
  if (file === WRAPPING_FILE) return true
  const isRuntime = file === '' || file.startsWith('node:')
  const [name = ''] = /[^.]*$/.exec(frame.getFunctionName() ?? '') ?? []
  return isRuntime && REGISTERING.test(name)
}

function isOwn(frame: NodeJS.CallSite): boolean {
  const file = fileOf(frame)
  return file.startsWith('file:') && !file.includes('/node_modules/')
}

function describe(frame: NodeJS.CallSite): string {
  const file = fileOf(frame)
  const [, path = file.slice(file.lastIndexOf('/') + 1)] =
    /.*\/(?:packages\/|(?=platform\/))(.*)$/.exec(file) ?? []
  // A bundle has its code in few lines.
  const column = file.endsWith('.mjs') ? `:${frame.getColumnNumber() ?? 0}` : ''
  const type = frame.isToplevel() ? undefined : frame.getTypeName()
  const name = frame.getFunctionName() ?? frame.getMethodName() ?? ''
  const hasType = typeof type === 'string' && name !== '' && !name.includes('.')
  const caller = hasType ? `${type}.${name}` : name
  return `${path}:${frame.getLineNumber() ?? 0}${column} ${caller}`.trim()
}
