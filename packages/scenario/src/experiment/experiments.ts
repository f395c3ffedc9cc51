/** Every experiment that the command line knows; a new one is added here. */
import type { Experiment } from './experiment.js'

export const EXPERIMENTS: readonly Experiment[] = []
