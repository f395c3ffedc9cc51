/**
 * Guards against: a router works on for a caller that has left, as only the oldest of its
 * requests hears of it.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { after, before, describe, it } from 'node:test'
import { DEMO_DEPLOYMENTS } from '../../demo/deployments.js'
import { Deployment, RELAXED_TARGETS } from '../../harness/deployment.js'
import { LEAVE_FORMS, leave } from '../leavingCaller.js'

/** Time after which nothing may be done for a caller that has left, in milliseconds. */
const BOUND_MS = 500

/** Time for which callers stay, in milliseconds. */
const STAY_MS = 300

/** Time that the engine takes for the first token of an answer, in milliseconds. */
const ENGINE_MS = 3_000

const BODY = JSON.stringify({
  model: 'queue-check',
  messages: [{ role: 'user', content: 'place 7' }],
})

const REQUEST = [
  'POST /v1/chat/completions HTTP/1.1',
  'Host: router',
  'Authorization: Bearer kebele-key',
  `Content-Length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n')

let deployment: Deployment
let address = ''

/** Requests that the router works on. */
async function inProgress(): Promise<number> {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  return Number(/^wagtailway_requests_in_progress (\d+)/m.exec(text)?.[1])
}

before(async () => {
  const spec = DEMO_DEPLOYMENTS[0]
  assert.ok(spec)
  const engines = spec.engines.map((engine) => ({
    ...engine,
    flags: [...(engine.flags ?? []), '--first-token-ms', String(ENGINE_MS)],
  }))
  deployment = await Deployment.start({
    ...spec,
    engines,
    routers: 1,
    routerFlags: RELAXED_TARGETS,
    seed: 1,
  })
  address = deployment.routers[0]?.address ?? ''
})

after(async () => {
  await deployment.close()
})

describe('a router works no more for a caller that has left', () => {
  for (const count of [1, 3])
    for (const form of LEAVE_FORMS)
      it(`with ${count} requests sent ahead, by ${form}`, async () => {
        const idleCount = await inProgress()
        const [host, port] = address.split(':')
        const socket = connect({ host, port: Number(port), allowHalfOpen: true })
        socket.on('error', () => undefined)
        socket.write(REQUEST.repeat(count))
        await sleep(STAY_MS)
        assert.equal(await inProgress(), idleCount + count)
        leave(socket, form)
        await sleep(BOUND_MS)
        assert.equal(await inProgress(), idleCount)
        socket.destroy()
      })
})
