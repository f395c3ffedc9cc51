/** Wraps what the runtime calls back, where our code registers it. */
import dgram from 'node:dgram'
import { EventEmitter } from 'node:events'
import http from 'node:http'
import { syncBuiltinESMExports } from 'node:module'
import net from 'node:net'
import stream from 'node:stream'
import timers from 'node:timers'
import timersPromises from 'node:timers/promises'
import type { Callback, CallbackThrower } from './callbackThrower.js'
import { findPlace } from './findPlace.js'

type Target = Record<string, Callback>

/** A listener that stands for another one, as those of `once` do. */
type Listener = Callback & { listener?: Callback }

/** Functions that take a callback among their arguments. */
const CALLBACK_FUNCTIONS: readonly (readonly [object, readonly string[]])[] = [
  [http, ['createServer', 'request', 'get']],
  [net, ['createServer', 'connect', 'createConnection']],
  [net.Server.prototype, ['listen', 'close']],
  [net.Socket.prototype, ['connect', 'end']],
  [stream, ['pipeline', 'finished']],
  [stream.Writable.prototype, ['write', 'end']],
  [stream.Duplex.prototype, ['write', 'end']],
  [http.OutgoingMessage.prototype, ['write', 'end']],
  [dgram.Socket.prototype, ['bind', 'send', 'close']],
  [process, ['nextTick']],
  [globalThis, ['queueMicrotask']],
  [Promise.prototype, ['then']],
]

const TIMERS = ['setTimeout', 'setInterval', 'setImmediate'] as const

/** @param emitter Emitter on which a listener is registered, if it is one. */
type IsExcluded = (caller: string, emitter: unknown) => boolean

/** Returns the place at which a function is called, unless it is excluded. */
type PlaceOf = (patched: Callback, what: string, emitter?: unknown) => string | undefined

/**
 * Wraps listeners of event emitters, timers, callbacks of the network and continuations of
 * promises in this process, as far as our code registers them.
 *
 * @param isExcluded Returns whether the callbacks of a caller or an emitter stay as they are.
 *
 * @example
 * wrapRuntime(CallbackThrower.create(options), (caller) => caller.includes('log.js'))
 */
export function wrapRuntime(thrower: CallbackThrower, isExcluded: IsExcluded): void {
  const placeOf: PlaceOf = (patched, what, emitter) => {
    const caller = findPlace(patched, {
      running: thrower.running,
      isExcluded: (name) => isExcluded(name, emitter),
    })
    return caller === undefined ? undefined : `${caller} ${what}`
  }
  const isOpen = (value: unknown): value is Callback =>
    typeof value === 'function' && !thrower.isWrapped(value) && !isNative(value)

  wrapListeners(thrower, placeOf, isOpen)
  for (const [target, names] of CALLBACK_FUNCTIONS) {
    for (const name of names) wrapArguments(target as Target, name)
  }
  for (const name of TIMERS) {
    wrapArguments(timers as unknown as Target, name)
    globalThis[name] = timers[name] as never
  }
  wrapSleep()
  syncBuiltinESMExports()

  function wrapArguments(target: Target, name: string): void {
    replace(target, name, (native) => {
      const patched: Callback = function (...args) {
        if (!args.some(isOpen)) return Reflect.apply(native, this, args)
        const place = placeOf(patched, name)
        if (place === undefined) return Reflect.apply(native, this, args)
        const wrapped = args.map((arg) => (isOpen(arg) ? thrower.wrap(place, arg) : arg))
        return Reflect.apply(native, this, wrapped)
      }
      return patched
    })
  }

  function wrapSleep(): void {
    const target = timersPromises as unknown as Target
    replace(target, 'setTimeout', (native) => {
      const patched: Callback = function (...args) {
        const place = placeOf(patched, 'await setTimeout')
        const slept = Reflect.apply(native, this, args) as Promise<unknown>
        if (place === undefined) return slept
        return slept.then(thrower.wrap(place, (value) => value))
      }
      return patched
    })
  }
}

function wrapListeners(
  thrower: CallbackThrower,
  placeOf: PlaceOf,
  isOpen: (value: unknown) => value is Callback,
): void {
  const target = EventEmitter.prototype as unknown as Target
  const wrapListener = (
    patched: Callback,
    emitter: unknown,
    type: unknown,
    listener: unknown,
  ): Listener | undefined => {
    if (!isOpen(listener)) return undefined
    const place = placeOf(patched, `on ${String(type)}`, emitter)
    if (place === undefined) return undefined
    const wrapped: Listener = thrower.wrap(place, listener)
    // Lets the emitter find it by the original one.
    wrapped.listener = listener
    return wrapped
  }
  for (const name of ['on', 'addListener', 'prependListener']) {
    replace(target, name, (native) => {
      const patched: Callback = function (type, listener) {
        const wrapped = wrapListener(patched, this, type, listener) ?? listener
        return Reflect.apply(native, this, [type, wrapped])
      }
      return patched
    })
  }
  for (const [name, always] of [
    ['once', 'on'],
    ['prependOnceListener', 'prependListener'],
  ] as const) {
    replace(target, name, (native) => {
      const patched: Callback = function (type, listener) {
        const wrapped = wrapListener(patched, this, type, listener)
        if (!wrapped) return Reflect.apply(native, this, [type, listener])
        const emitter = this as EventEmitter
        let isCalled = false
        const once: Listener = thrower.pass(function (...args) {
          if (isCalled) return undefined
          isCalled = true
          emitter.removeListener(type as string, once)
          return Reflect.apply(wrapped, this, args)
        })
        once.listener = listener as Callback
        return emitter[always](type as string, once)
      }
      return patched
    })
  }
}

/** Replaces a method by one with the same properties, such as that for `promisify`. */
function replace(
  target: Target,
  name: string,
  wrap: (native: Callback) => Callback,
): void {
  const native = target[name]
  if (!native) return
  const patched = wrap(native)
  Object.defineProperties(patched, Object.getOwnPropertyDescriptors(native))
  target[name] = patched
}

/** Whether a function is part of the runtime, such as `resolve` of a promise. */
function isNative(value: unknown): boolean {
  const { name } = value as Callback
  if (name.startsWith('bound ')) return false
  return Function.prototype.toString.call(value).includes('[native code]')
}
