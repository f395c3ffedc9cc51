import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatScenarioFinding, parseScenario } from '../parseScenario.js'

const GOOD = `name: n
deployment: { declarations: gebeta, engines: [{ id: e1, versions: [m@v] }] }
traffic: [{ class: a/b, count: 3 }]
faults: [{ at: 1.5s, kill: n1 }]
outcomes: [whole-answers, ends-within: { within: 2s }]
`

function findings(text: string): string[] {
  const parsed = parseScenario('f.yaml', text)
  return parsed.err ? parsed.val.map(formatScenarioFinding) : []
}

describe('parseScenario', () => {
  it('parses durations, faults and outcomes', () => {
    const parsed = parseScenario('f.yaml', GOOD)
    assert.ok(parsed.ok)
    assert.equal(parsed.val.faults[0]?.at, 1_500)
    assert.equal(parsed.val.outcomes.length, 2)
  })

  it('reports every error with its line', () => {
    const text = GOOD.replace('count: 3', 'count: 0')
      .replace('1.5s', 'soon')
      .replace('whole-answers', 'no-such-outcome')
    assert.deepEqual(
      findings(text).map((line) => line.split(' ')[0]),
      ['f.yaml:3:', 'f.yaml:4:', 'f.yaml:5:'],
    )
  })

  it('reports unknown parts, actions that cannot be undone and invalid combinations', () => {
    const faults = `
  - { at: 1s, kill: n9 }
  - { at: 1s, kill: n1, for: 2s }
  - { at: 1s, kill: n1, freeze: n2 }
  - { kill: n1 }
  - { at: 1s, cut: n1 > e7 }`
    const found = findings(GOOD.replace(/faults: .*/, `faults:${faults}`))
    assert.deepEqual(
      found.map((line) => line.split(' ')[0]),
      ['f.yaml:5:', 'f.yaml:6:', 'f.yaml:7:', 'f.yaml:8:', 'f.yaml:9:'],
    )
    assert.match(found[0] ?? '', /no part "n9"; there are n1, n2, n3, e1/)
  })

  it('reports broken YAML with its line', () => {
    assert.match(findings(`${GOOD}x: [`)[0] ?? '', /^f\.yaml:6:/)
  })
})
