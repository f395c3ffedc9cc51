/** Report of an entry instance that has nothing to tell, for emulators. */
import { NO_CRASH_REPORT, type PeerReport } from '@wagtailway/gateway'

export const EMPTY_REPORT: PeerReport = {
  name: '',
  zone: '',
  linkMbps: 0,
  sequence: 0,
  isDraining: false,
  loads: new Map(),
  evidence: [],
  rollouts: [],
  sessionHashes: [],
  unreachableServers: [],
  prefillSpeeds: new Map(),
  feedMarks: [],
  crashReport: NO_CRASH_REPORT,
  limits: [],
  cutOffServices: [],
  statements: [],
}
