import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { DEMO_DEPLOYMENTS } from '../../demo/deployments.js'
import { Deployment, RELAXED_TARGETS } from '../../harness/deployment.js'
import { ChatCaller } from '../chatCaller.js'

const VERSION = 'summariser@large'
const USAGE = { prompt_tokens: 1, completion_tokens: 2, total_tokens: 3 }

function event(choices: unknown[], extraFields: object = {}): string {
  return `data: ${JSON.stringify({ id: 'x', object: 'chat.completion.chunk', choices, ...extraFields })}\n\n`
}

function stream(res: ServerResponse, ...parts: string[]): void {
  res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8' })
  res.end(parts.join(''))
}

function json(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(text)
}

const HELLO = event([{ index: 0, delta: { content: 'hello' } }])
const STOP = event([{ index: 0, delta: {}, finish_reason: 'stop' }])
const USAGE_EVENT = event([], { usage: USAGE })
const DONE = 'data: [DONE]\n\n'

/** Behaviour of the backend server, by the text of the prompt. */
const behaviours: Record<string, (res: ServerResponse) => void> = {
  html: (res) => res.writeHead(200, { 'content-type': 'text/html' }).end('<p>hello'),
  shape: (res) => {
    json(res, 200, '{"choices":[]}')
  },
  usageless: (res) => {
    json(res, 200, '{"choices":[{"message":{"content":"a"}}]}')
  },
  huge: (res) => {
    json(res, 200, `{"x":"${'x'.repeat(20 * 1_048_576)}"}`)
  },
  broken: (res) => res.writeHead(500).end(),
  garbage: (res) => res.socket?.end('HTTP/9.9 nonsense\r\n\r\n'),
  closes: (res) => res.socket?.destroy(),
  short: (res) => {
    res.writeHead(200, { 'content-length': 100 }).write('{')
    res.socket?.end()
  },
  stock: (res) => {
    stream(res, HELLO, STOP, USAGE_EVENT, DONE)
  },
  endless: (res) => {
    stream(res, `data: ${'x'.repeat(2 * 1_048_576)}`)
  },
  nonsense: (res) => {
    stream(res, HELLO, 'data: {"choices":7}\n\n', STOP, USAGE_EVENT, DONE)
  },
  cut: (res) => {
    stream(res, HELLO, STOP, USAGE_EVENT)
  },
  unbilled: (res) => {
    stream(res, HELLO, STOP, DONE)
  },
  choices: (res) => {
    const stop = (index: number): string => event([{ index, finish_reason: 'stop' }])
    stream(
      res,
      HELLO,
      stop(0),
      event([{ index: 1, delta: {} }]),
      stop(1),
      USAGE_EVENT,
      DONE,
    )
  },
}

describe('a backend server that sends invalid responses', () => {
  let deployment: Deployment
  let url = ''
  let server: Server
  const caller = ChatCaller.create()

  before(async () => {
    server = createServer((req, res) => {
      let body = ''
      req.on('data', (part: Buffer) => (body += part.toString()))
      req.on('end', () => {
        const chat = JSON.parse(body) as { messages: { content: string }[] }
        behaviours[chat.messages[0]?.content ?? '']?.(res)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const spec = DEMO_DEPLOYMENTS[0]
    assert.ok(spec)
    const engines = spec.engines.slice(0, 1)
    deployment = await Deployment.start({
      ...spec,
      engines,
      routers: 0,
      seed: 1,
      routerFlags: RELAXED_TARGETS,
    })
    const { port } = server.address() as AddressInfo
    await deployment.setInstance({
      id: 'bad',
      role: 'engine',
      address: `127.0.0.1:${port}`,
      zone: 'z1',
      region: 'r1',
      state: 'live',
      versions: [VERSION],
    })
    // Started last, so that its first copy of the instance list includes the bad server.
    const router = await deployment.startRouter()
    await deployment.waitUntilReady()
    url = `http://${router.address}`
  })
  after(async () => {
    caller.close()
    server.closeAllConnections()
    server.close()
    await deployment.close()
  })

  function postChat(content: string, extraFields: object = {}): Promise<Response> {
    const body = {
      model: 'dossier',
      messages: [{ role: 'user', content }],
      ...extraFields,
    }
    return fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer panel-key', 'content-type': 'application/json' },
      body: JSON.stringify(body),
    })
  }

  async function refusalCount(reason: string): Promise<number> {
    const text = await (await fetch(`${url}/metrics`)).text()
    const counterLine = new RegExp(
      `refusals_total\\{reason="${reason}",ran="unknown"\\} (\\d+)`,
    )
    return Number(counterLine.exec(text)?.[1] ?? 0)
  }

  async function assertOthersAreServed(): Promise<void> {
    const result = await caller.send({
      address: url.replace('http://', ''),
      apiKey: 'kebele-key',
      className: 'queue-check',
      prompt: 'place 9',
      stream: true,
    })
    assert.ok(result.whole)
  }

  const plain: [string, string][] = [
    ['html', 'backend_invalid'],
    ['shape', 'backend_invalid'],
    ['usageless', 'backend_invalid'],
    ['huge', 'backend_invalid'],
    ['broken', 'backend_failed'],
    ['garbage', 'backend_failed'],
    ['closes', 'backend_failed'],
    ['short', 'backend_truncated'],
  ]
  for (const [behaviour, reason] of plain) {
    it(`refuses with ${reason} after "${behaviour}"`, async () => {
      const countBefore = await refusalCount(reason)
      const res = await postChat(behaviour)
      const { error } = (await res.json()) as { error: { type: string; ran: string } }
      assert.deepEqual([res.status, error.type, error.ran], [502, reason, 'unknown'])
      assert.equal(res.headers.get('retry-after'), '1')
      assert.equal(await refusalCount(reason), countBefore + 1)
      await assertOthersAreServed()
    })
  }

  it('refuses a stream with the wrong content type before sending anything', async () => {
    const res = await postChat('html', { stream: true })
    const { error } = (await res.json()) as { error: { type: string } }
    assert.equal(error.type, 'backend_invalid')
  })

  it('refuses an event that never ends before sending anything', async () => {
    const res = await postChat('endless', { stream: true })
    const { error } = (await res.json()) as { error: { type: string } }
    assert.equal(error.type, 'backend_truncated')
  })

  for (const behaviour of ['nonsense', 'cut', 'unbilled']) {
    it(`aborts a response that has started and is incomplete: ${behaviour}`, async () => {
      const countBefore = await refusalCount('backend_truncated')
      const responseText = postChat(behaviour, { stream: true }).then((res) => res.text())
      await assert.rejects(responseText)
      assert.equal(await refusalCount('backend_truncated'), countBefore + 1)
      await assertOthersAreServed()
    })
  }

  it('forwards the usage to a caller that requested it', async () => {
    const options = { stream: true, stream_options: { include_usage: true } }
    const text = await (await postChat('stock', options)).text()
    assert.ok(text.endsWith(DONE))
    assert.ok(text.includes('"total_tokens":3'))
  })

  it('removes the usage for a caller that did not request it', async () => {
    const text = await (await postChat('stock', { stream: true })).text()
    assert.ok(text.endsWith(DONE))
    assert.ok(!text.includes('total_tokens'))
    assert.ok(text.includes('"finish_reason":"stop"'))
  })

  it('forwards every choice of a response in order', async () => {
    const text = await (await postChat('choices', { stream: true, n: 2 })).text()
    const indexes = [...text.matchAll(/"index":(\d)/g)].map(([, index]) => index)
    assert.deepEqual(indexes, ['0', '0', '1', '1'])
  })
})
