import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { EXIT, createAnnouncements, explain, status, withdraw } from '@wagtailway/ctl'
import { PlatformClient } from '@wagtailway/platform'
import { DEMO_DEPLOYMENTS } from '../../demo/deployments.js'
import { Deployment, RELAXED_TARGETS } from '../../harness/deployment.js'
import { ChatCaller } from '../chatCaller.js'

const POLL_MS = 50

describe('operators of a running deployment', () => {
  let deployment: Deployment
  let client: PlatformClient
  const caller = ChatCaller.create()

  before(async () => {
    const spec = DEMO_DEPLOYMENTS[0]
    assert.ok(spec)
    const engines = spec.engines.slice(0, 1)
    deployment = await Deployment.start({
      ...spec,
      engines,
      routers: 2,
      seed: 1,
      routerFlags: RELAXED_TARGETS,
    })
    client = PlatformClient.create({ url: deployment.platformUrl })
  })
  after(async () => {
    caller.close()
    client.close()
    await deployment.close()
  })

  function sendRequest(): ReturnType<ChatCaller['send']> {
    return caller.send({
      address: deployment.routers[1]?.address ?? '',
      apiKey: 'kebele-key',
      className: 'queue-check',
      prompt: 'place 9',
      stream: false,
    })
  }

  it('see which instances have the configuration in force', async () => {
    const report = await status(client)
    assert.equal(report.code, EXIT.ok, report.lines.join('\n'))
    assert.match(report.lines.join('\n'), /in force on 2 of 2 entry instances/)
  })

  it('can explain how a request was routed', async () => {
    const { requestId } = await sendRequest()
    const report = await explain(client, requestId)
    const text = report.lines.join('\n')
    assert.equal(report.code, EXIT.ok, text)
    assert.match(text, /kebele\/queue-check at n2/)
    assert.match(text, /planned summariser@small/)
    assert.match(text, /sent to gebeta-e1 .* for summariser@small/)
    assert.match(text, /gebeta-e1: answered/)
  })

  it('get exit code notFound for an unknown request', async () => {
    const report = await explain(client, '00000000-0000-0000-0000-000000000000')
    assert.equal(report.code, EXIT.notFound)
  })

  it('have operator routes that callers cannot reach', async () => {
    const { requestId } = await sendRequest()
    const url = `http://${deployment.routers[1]?.address ?? ''}`
    for (const path of ['/operator/status', `/operator/decisions/${requestId}`]) {
      assert.equal((await fetch(url + path)).status, 404, path)
    }
  })

  it('can announce no revision that is not a positive integer', async () => {
    const instances = await client.instances()
    const address = instances.unwrap().find(({ role }) => role === 'entry')?.address ?? ''
    for (const revision of ['', '0', '-1', '1.5', 'new']) {
      const url = `http://${address}/operator/known-revision?revision=${revision}`
      assert.equal((await fetch(url, { method: 'POST' })).status, 400, revision)
    }
  })

  it('withdraw a version, and see which instances do not respond', async () => {
    const report = await withdraw(
      client,
      { model: 'summariser', version: 'small', reason: 'ranks a household twice' },
      { prepareAnnouncement: createAnnouncements(client) },
    )
    assert.equal(report.code, EXIT.ok, report.lines.join('\n'))
    assert.match(report.lines.join('\n'), /told 2 of 2 entry instances/)
    let refusal = ''
    while (refusal === '') {
      refusal = (await sendRequest()).refusal
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    assert.equal(refusal, 'no_version')
    await deployment.routers[0]?.kill()
    const statusAfterKill = await status(client)
    assert.equal(statusAfterKill.code, EXIT.incomplete)
    assert.match(statusAfterKill.lines.join('\n'), /n1 \(z1\): silent/)
    assert.match(
      statusAfterKill.lines.join('\n'),
      /kebele\/queue-check \[versions_changed\]/,
    )
  })
})
