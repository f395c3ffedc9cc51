import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { describe, it } from 'node:test'
import { findFreePorts } from '../freePorts.js'

describe('findFreePorts', () => {
  it('finds ports that the operating system gives to no other program', async () => {
    const range = await readFile('/proc/sys/net/ipv4/ip_local_port_range', 'utf8')
    const [first = 0] = range.split(/\s+/).map(Number)
    const ports = [...(await findFreePorts(5)), ...(await findFreePorts(5))]
    assert.equal(new Set(ports).size, 10)
    assert.ok(Math.max(...ports) < first, `${ports.join(' ')}, range from ${first}`)
  })

  it('passes over a port in use', async () => {
    const [port = 0] = await findFreePorts(1)
    const server = createServer()
    await new Promise<void>((resolve) => {
      server.listen(port + 1, '127.0.0.1', resolve)
    })
    const [next = 0] = await findFreePorts(1)
    server.close()
    assert.ok(next > port + 1)
  })
})
