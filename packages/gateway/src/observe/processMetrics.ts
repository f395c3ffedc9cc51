/** Metrics of the process itself: memory, descriptors, processor time and collections. */
import type { Registry } from 'prom-client'
import addCollections from 'prom-client/lib/metrics/gc.js'
import addHeap from 'prom-client/lib/metrics/heapSizeAndUsed.js'
import addMemory from 'prom-client/lib/metrics/osMemoryHeap.js'
import addProcessorTime from 'prom-client/lib/metrics/processCpuTotal.js'
import addMaxDescriptors from 'prom-client/lib/metrics/processMaxFileDescriptors.js'
import addOpenDescriptors from 'prom-client/lib/metrics/processOpenFileDescriptors.js'
import addStartTime from 'prom-client/lib/metrics/processStartTime.js'

/**
 * Adds those default metrics of prom-client that need no timer and whose cost doesn't grow
 * with the number of connections. Once for each process: they observe it until its end.
 *
 * @example
 * addProcessMetrics(createMetrics().registry)
 */
export function addProcessMetrics(registry: Registry): void {
  const metrics = [
    addMemory,
    addHeap,
    addOpenDescriptors,
    addMaxDescriptors,
    addProcessorTime,
    addStartTime,
    addCollections,
  ]
  for (const addMetric of metrics) addMetric(registry)
}
