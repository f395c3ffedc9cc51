/** Types of single default metrics of prom-client 15; it declares only all of them together. */
declare module 'prom-client/lib/metrics/*' {
  import type { Registry } from 'prom-client'
  const addMetric: (registry: Registry) => void
  export default addMetric
}
