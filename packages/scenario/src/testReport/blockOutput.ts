/**
 * Makes writes to standard output block, for processes of tests (`node --import`): a forced
 * exit drops what their reports have queued for a pipe that is full.
 */
interface BlockableOutput {
  readonly _handle?: { readonly setBlocking?: (isBlocking: boolean) => void }
}

const output = process.stdout as unknown as BlockableOutput
output._handle?.setBlocking?.(true)
