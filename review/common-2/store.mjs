/**
 * Stand-in for the platform's store: objects with revisions, conditional writes, lists, watches,
 * an era, outages and a restore from a copy.
 */
import { createServer } from 'node:http'

const OBJECT_PATH = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/

export class Store {
  /** `up`, `busy` (answers 503) or `silent` (never answers). */
  mode = 'up'
  era = 1
  revision = 100
  objects = new Map()
  history = []
  historyStart = 100
  #wakeups = new Set()
  #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy())
  })

  static async create(host, port) {
    const store = new Store()
    await new Promise((resolve) => store.#server.listen(port, host, resolve))
    store.address = `${host}:${store.#server.address().port}`
    return store
  }

  /** Writes the specification of an object as the operator or a replica does. */
  put(kind, name, specification) {
    const status = this.objects.get(`${kind}/${name}`)?.status ?? null
    return this.#write(kind, name, { specification, status })
  }

  remove(kind, name) {
    const old = this.objects.get(`${kind}/${name}`)
    if (!old) return
    this.objects.delete(`${kind}/${name}`)
    this.revision += 1
    this.#record({ kind, deleted: true, object: { ...old, revision: this.revision } })
  }

  read(kind, name) {
    return this.objects.get(`${kind}/${name}`)
  }

  copy() {
    return { objects: new Map(this.objects), revision: this.revision }
  }

  /** Comes back from a copy: what was written since is gone, the era rises by one. */
  restore({ objects, revision }) {
    this.objects = new Map(objects)
    this.revision = revision
    this.era += 1
    this.history = []
    this.historyStart = revision
    this.#wake()
  }

  close() {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #write(kind, name, contents) {
    const old = this.objects.get(`${kind}/${name}`)
    this.revision += 1
    const created = old?.created ?? this.revision
    const object = { name, revision: this.revision, created, ...contents }
    this.objects.set(`${kind}/${name}`, object)
    this.#record({ kind, deleted: false, object })
    return object
  }

  #record(change) {
    this.history.push(change)
    this.#wake()
  }

  #wake() {
    for (const wake of [...this.#wakeups]) wake()
  }

  async #serve(req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    if (this.mode === 'silent') return
    if (this.mode === 'busy') {
      this.#send(res, 503, {})
      return
    }
    const url = new URL(req.url, 'http://store')
    const [, kind, name, isStatus] = OBJECT_PATH.exec(url.pathname) ?? []
    if (req.method === 'GET') {
      if (name !== undefined) this.#sendObject(res, this.read(kind, name))
      else if (url.searchParams.has('watch')) await this.#watch(res, kind, url)
      else this.#list(res, kind)
      return
    }
    const text = Buffer.concat(chunks).toString()
    const body = text === '' ? {} : JSON.parse(text)
    this.#change(req.method, kind, name ?? body.metadata?.name, isStatus, body, res)
  }

  #change(method, kind, name, isStatus, body, res) {
    const old = this.read(kind, name)
    if (method === 'DELETE') {
      this.remove(kind, name)
      this.#send(res, old ? 200 : 404, {})
      return
    }
    const revision = body.metadata?.revision
    const isStale = old && revision !== undefined && revision !== old.revision
    if (method === 'POST' ? old : isStale) {
      this.#send(res, 409, toWire(old))
      return
    }
    if (method !== 'POST' && !old) {
      this.#send(res, 404, {})
      return
    }
    const contents = isStatus
      ? { specification: old.specification, status: body.status }
      : { specification: body.specification, status: old?.status ?? null }
    const isUnchanged =
      old &&
      JSON.stringify([old.specification, old.status]) ===
        JSON.stringify([contents.specification, contents.status])
    this.#sendObject(res, isUnchanged ? old : this.#write(kind, name, contents))
  }

  #list(res, kind) {
    const items = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => toWire(object))
    this.#send(res, 200, { items, hasMore: false, asOf: this.revision })
  }

  async #watch(res, kind, url) {
    const after = Number(url.searchParams.get('watch'))
    const endsAt = performance.now() + Number(url.searchParams.get('waitMs') ?? 0)
    const { era } = this
    for (;;) {
      if (this.mode === 'silent') return
      if (after < this.historyStart || after > this.revision || era !== this.era) {
        this.#send(res, 410, {})
        return
      }
      const events = this.history
        .filter((change) => change.kind === kind && change.object.revision > after)
        .map(({ deleted, object }) => ({ deleted, object: toWire(object) }))
      const leftMs = endsAt - performance.now()
      if (events.length > 0 || leftMs <= 0) {
        this.#send(res, 200, { events, asOf: this.revision })
        return
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          this.#wakeups.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        this.#wakeups.add(wake)
      })
    }
  }

  #sendObject(res, object) {
    this.#send(res, object ? 200 : 404, object ? toWire(object) : {})
  }

  #send(res, status, body) {
    const text = JSON.stringify(body)
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': String(this.era),
    })
    res.end(text)
  }
}

function toWire({ name, revision, created, specification, status }) {
  const metadata = { name, revision, created, finalizers: [], deleting: false }
  return { metadata, specification, status }
}
