/** Look-ups over one revision of the configuration in force. */
import { createHash } from 'node:crypto'
import {
  classKey,
  versionKey,
  type Candidate,
  type EffectiveConfig,
  type EffectiveClass,
  type EffectiveService,
  type EffectiveWorkspace,
} from './effective.js'

/**
 * Index of one configuration revision; immutable, replaced as a whole.
 *
 * @example
 * const index = ConfigIndex.create(12, effective)
 * index.workspaceOfKey('secret-key')?.name
 */
export class ConfigIndex {
  readonly #workspacesByKeyHash = new Map<string, EffectiveWorkspace>()
  readonly #classes = new Map<string, EffectiveClass>()
  readonly #candidates = new Map<string, readonly Candidate[]>()
  readonly #services = new Map<string, EffectiveService>()
  readonly #withdrawn: ReadonlySet<string>

  private constructor(
    readonly revision: number,
    readonly effective: EffectiveConfig,
  ) {
    this.#withdrawn = new Set(
      effective.withdrawals.map((w) => versionKey(w.model, w.version)),
    )
    for (const workspace of effective.workspaces) {
      for (const hash of workspace.keyHashes) {
        this.#workspacesByKeyHash.set(hash, workspace)
      }
    }
    for (const service of effective.services) this.#services.set(service.name, service)
    for (const cls of effective.classes) this.#addClass(cls)
  }

  static create(revision: number, effective: EffectiveConfig): ConfigIndex {
    return new ConfigIndex(revision, effective)
  }

  /** The workspace whose callers hold this API key. */
  workspaceOfKey(apiKey: string): EffectiveWorkspace | undefined {
    const hash = createHash('sha256').update(apiKey).digest('hex')
    return this.#workspacesByKeyHash.get(hash)
  }

  class(workspace: string, name: string): EffectiveClass | undefined {
    return this.#classes.get(classKey(workspace, name))
  }

  service(name: string): EffectiveService | undefined {
    return this.#services.get(name)
  }

  /** Every version that the class allows, withdrawn ones included. */
  allowedVersions(cls: EffectiveClass): readonly Candidate[] {
    return this.#candidates.get(classKey(cls.workspace, cls.name)) ?? []
  }

  /** Versions that the class may use for new requests. */
  usableVersions(cls: EffectiveClass): readonly Candidate[] {
    return this.allowedVersions(cls).filter(
      (candidate) => !this.isWithdrawn(candidate.key),
    )
  }

  isWithdrawn(key: string): boolean {
    return this.#withdrawn.has(key)
  }

  #addClass(cls: EffectiveClass): void {
    const key = classKey(cls.workspace, cls.name)
    this.#classes.set(key, cls)
    this.#candidates.set(key, candidatesOf(cls, this.effective))
  }
}

function candidatesOf(cls: EffectiveClass, effective: EffectiveConfig): Candidate[] {
  return cls.allow.flatMap((allowance) => {
    const model = effective.models.find(({ name }) => name === allowance.model)
    if (!model) return []
    return model.versions
      .filter((v) => allowance.versions?.includes(v.name) ?? true)
      .map((v) => ({
        model: model.name,
        version: v.name,
        key: versionKey(model.name, v.name),
        promptPrice: v.promptPrice,
        completionPrice: v.completionPrice,
        expectedQuality: v.expectedQuality,
      }))
  })
}
