import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { identifyContent, type RequestContent } from '../requestContent.js'

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'app.example',
  path: '/orders/7?full=1',
  caller: 'kebele',
  body: [Buffer.from('{"place":7}')],
}

describe('the identifier of a request', () => {
  it('is the same for the same content', () => {
    const copy = { ...CONTENT, host: 'APP.example', body: [Buffer.from('{"place":7}')] }
    assert.equal(identifyContent(copy), identifyContent(CONTENT))
  })

  it('does not depend on the blocks that hold the body', () => {
    const copy = { ...CONTENT, body: [Buffer.from('{"pl'), Buffer.from('ace":7}')] }
    assert.equal(identifyContent(copy), identifyContent(CONTENT))
  })

  it('differs if any part of the content differs', () => {
    const others: RequestContent[] = [
      { ...CONTENT, method: 'PUT' },
      { ...CONTENT, host: 'other.example' },
      { ...CONTENT, path: '/orders/7' },
      { ...CONTENT, caller: 'other' },
      { ...CONTENT, body: [Buffer.from('{"place":8}')] },
      { ...CONTENT, path: '/orders/7?full=1kebele', caller: '' },
    ]
    const ids = [CONTENT, ...others].map(identifyContent)
    assert.equal(new Set(ids).size, ids.length)
  })
})
