/** Ways to decide when an instance leaves after an error. */
import { LeavePermission, type LeaveOptions } from '@wagtailway/gateway'

/** What decides for one process. */
export type LeaveGuard = Pick<
  LeavePermission,
  'applyReport' | 'mayLeave' | 'requestLeave' | 'wishAgeMs'
>

export type LeavePolicy = (opts: LeaveOptions) => LeaveGuard

/** The brake of the gateway. */
export const permission: LeavePolicy = (opts) => LeavePermission.create(opts)

/** Each leaves at once. */
export const noBrake: LeavePolicy = () => ({
  applyReport: () => undefined,
  mayLeave: () => true,
  requestLeave: () => undefined,
  wishAgeMs: undefined,
})
