import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseArgs } from '../cli.js'
import { ROUTER_SETTINGS, resolveConfig } from '../options.js'

const GOOD = [
  ...['--node', 'n1', '--zone', 'z1', '--platform', 'http://127.0.0.1:1'],
  ...['--session-keys', 'first-key,second-key'],
]

/** Runs `body` with additional environment variables. */
function withVariables(variables: Record<string, string>, body: () => void): void {
  Object.assign(process.env, variables)
  try {
    body()
  } finally {
    for (const name of Object.keys(variables)) Reflect.deleteProperty(process.env, name)
  }
}

describe('parseArgs', () => {
  it('reads flags, and lists separated by commas', () => {
    const { values, unknown } = parseArgs([...GOOD, '--peer-port', '7'])
    assert.deepEqual(unknown, [])
    assert.deepEqual(values['sessionKeys'], ['first-key', 'second-key'])
    assert.equal(resolveConfig(values).unwrap().peerPort, 7)
  })

  it('reads the environment variable of every flag, and the flag takes precedence', () => {
    const variables = ROUTER_SETTINGS.map(({ variable, type }) => [
      variable,
      type === 'number' ? '1' : 'http://127.0.0.1:1',
    ])
    withVariables(Object.fromEntries(variables) as Record<string, string>, () => {
      const { values, unknown } = parseArgs(['--zone', 'z9'])
      assert.deepEqual(unknown, [])
      assert.deepEqual(
        Object.keys(values),
        ROUTER_SETTINGS.map(({ name }) => name),
      )
      assert.equal(values['zone'], 'z9')
    })
  })

  it('reports flags, variables and positional arguments that are not settings', () => {
    withVariables({ WAGTAILWAY_PEER_PROT: '7' }, () => {
      const { unknown } = parseArgs([...GOOD, '--sesion', '3', 'word'])
      assert.deepEqual(
        unknown.map(({ setting }) => setting),
        ['sesion', 'peer-prot', 'word'],
      )
    })
  })
})
