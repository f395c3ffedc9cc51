/** Gives the errors in the events of a server's connections an owner. */
import type { EventEmitter } from 'node:events'
import type { Server } from 'node:http'
import { Socket } from 'node:net'
import { runOwned, type ErrorOwner } from '@wagtailway/core'

/**
 * Makes each connection own the errors in its events and those of the server about it, such as
 * a new request: it is closed. The runtime emits them without a context of their own.
 *
 * @param onError Called before, with the address of the client.
 *
 * @example
 * ownConnections(server, (err, host) => log('exchange_failed', { host, err }))
 */
export function ownConnections(
  server: Server,
  onError: (err: unknown, host: string | undefined) => void,
): void {
  const owners = new WeakMap<Socket, ErrorOwner>()
  const ownerOf = (socket: Socket): ErrorOwner => {
    const known = owners.get(socket)
    if (known) return known
    const id = socket.remoteAddress
    const end = (err: unknown): void => {
      onError(err, id)
      socket.destroy()
    }
    const owner = { work: 'connection', id, end }
    owners.set(socket, owner)
    ownEvents(socket, () => owner)
    return owner
  }
  ownEvents(server, (args) => {
    const socket = args.map(socketOf).find((found) => found !== undefined)
    return socket && ownerOf(socket)
  })
}

/** Runs all listeners of an emitter for the owner of their event, which ends for their errors. */
function ownEvents(
  emitter: EventEmitter,
  ownerOf: (args: readonly unknown[]) => ErrorOwner | undefined,
): void {
  const emit = emitter.emit.bind(emitter)
  emitter.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    const owner = ownerOf(args)
    if (!owner) return emit(event, ...args)
    try {
      return runOwned(owner, () => emit(event, ...args))
    } catch (err) {
      owner.end(err)
      return true
    }
  }
}

/** Connection that an argument of an event is or belongs to. */
function socketOf(arg: unknown): Socket | undefined {
  if (arg instanceof Socket) return arg
  const { socket } = (arg ?? {}) as { readonly socket?: unknown }
  return socket instanceof Socket ? socket : undefined
}
