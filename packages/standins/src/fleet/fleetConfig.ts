/** Configuration of a small fleet, in the form of the users' platform. */

export interface FleetConfigOptions {
  readonly version: number
  readonly keys?: readonly string[]
  readonly hasPlain?: boolean
  readonly timeoutMs?: number
  /**
   * Whether streams may be resumed at another server.
   * @default true
   */
  readonly isResumable?: boolean
  /** Name of the workspace that has the keys. */
  readonly workspace?: string
  /** Longest body that a caller may send, in bytes. */
  readonly bodyBytes?: number
  /** Cold time of the servers of all services; without it they are never cold. */
  readonly cold?: { readonly coldStartS: number; readonly coldPerS: number }
}

/** Returns a configuration of two plain routes and one streaming route with two models. */
export function fleetConfig(opts: FleetConfigOptions): unknown {
  const { version, keys = ['key-1'], hasPlain = true, timeoutMs = 2_000 } = opts
  const { workspace = 'kebele', isResumable = true, bodyBytes = 1_048_576, cold } = opts
  const route = {
    host: 'app.example',
    timeoutMs,
    targetLatencyMs: 200,
    priority: 1,
    service: 'plain',
    public: false,
  }
  const plain = {
    ...route,
    name: 'plain',
    pathPrefix: '/plain/',
    kind: 'safe',
    attempts: 2,
  }
  return {
    version,
    routes: [
      ...(hasPlain ? [plain] : []),
      { ...route, name: 'once', pathPrefix: '/once/', kind: 'unsafe', attempts: 1 },
      {
        ...route,
        name: 'notes',
        pathPrefix: '/notes/',
        kind: 'streaming',
        service: 'models',
        attempts: 3,
        sizes: ['small', 'large'],
        sessionAffinity: true,
        streamResumption: isResumable,
        targetGapMs: 300,
      },
    ],
    services: [
      { name: 'plain', healthPath: '/health', connectionLimit: 100, ...cold },
      {
        name: 'models',
        healthPath: '/health',
        connectionLimit: 100,
        ...cold,
        engine: {
          models: [
            { name: 'small', cost: 0.01 },
            { name: 'large', cost: 0.1 },
          ],
        },
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: workspace, apiKeys: keys }],
  }
}
