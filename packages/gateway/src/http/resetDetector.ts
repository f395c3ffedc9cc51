/** Detects connection resets that are reported as a normal end. */
export { ResetDetector } from '@wagtailway/core'
