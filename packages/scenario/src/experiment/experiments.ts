/** All experiments of the command line; add new ones here. */
import {
  overloadExperiment,
  recoveryExperiment,
  replicaExperiment,
} from '../loadModel/loadExperiments.js'
import type { Experiment } from './experiment.js'
import { goodRolloutExperiment, rolloutExperiment } from './rollouts/rolloutExperiment.js'
import { nineVersionExperiment, versionExperiment } from './versions/versionExperiment.js'

export const EXPERIMENTS: readonly Experiment[] = [
  versionExperiment,
  nineVersionExperiment,
  overloadExperiment,
  recoveryExperiment,
  replicaExperiment,
  rolloutExperiment,
  goodRolloutExperiment,
]
