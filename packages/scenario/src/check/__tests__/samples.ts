/** Evidence for tests of checks. */
import type { EffectiveConfig } from '@wagtailway/core'
import type { AcceptedConfig, SentRequest, StartedRun } from '../evidence.js'

/** A request that was answered whole. */
export function sentRequest(change: Partial<SentRequest> = {}): SentRequest {
  return {
    id: 'q1',
    classKey: 'panel/dossier',
    router: 'n1',
    digest: 'd1',
    nonIdempotent: false,
    sentAtMs: 1_000,
    endedAtMs: 1_050,
    end: 'whole',
    status: 200,
    requestId: 'r1',
    versionKey: 'summariser@small',
    reason: '',
    ran: '',
    ...change,
  }
}

/** A run that finished. */
export function startedRun(change: Partial<StartedRun> = {}): StartedRun {
  return {
    backend: 'e1',
    versionKey: 'summariser@small',
    isService: false,
    requestId: 'r1',
    digest: 'd1',
    atMs: 1_010,
    finished: true,
    ...change,
  }
}

/** A configuration that allows `versions` to panel/dossier and withdraws others. */
export function acceptedConfig(
  revision: number,
  atMs: number,
  versions: readonly string[],
  withdrawn: readonly string[] = [],
): AcceptedConfig {
  const owner = 'panel-office'
  const effective: EffectiveConfig = {
    grants: [],
    workspaces: [{ name: 'panel', keyHashes: [], share: 1, owner }],
    models: [
      {
        name: 'summariser',
        owner,
        versions: ['small', 'large'].map((name) => ({
          name,
          promptPrice: 0.1,
          completionPrice: 0.1,
          expectedQuality: 0.5,
        })),
      },
    ],
    services: [],
    classes: [
      {
        workspace: 'panel',
        name: 'dossier',
        allow: [{ model: 'summariser', versions: [...versions] }],
        services: [],
        quality: { target: 0.5 },
        latency: { firstTokenMs: 1_000, betweenTokensMs: 43 },
        priority: 5,
        sessions: true,
        owner,
      },
    ],
    rollouts: [],
    withdrawals: withdrawn.map((version) => ({
      model: 'summariser',
      version,
      reason: 'bad',
      owner,
    })),
  }
  return { revision, atMs, effective }
}
