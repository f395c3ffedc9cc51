/** Compares policies for prompts that crash servers, in virtual time. */
import { encodeReport, type CrashReport } from '@wagtailway/gateway'
import type { CrashFleetResult } from '../crashFleet/crashResult.js'
import type { CrashPolicy } from '../crashFleet/crashPolicies.js'
import { CRASH_POLICIES, badTraitTrial } from '../crashFleet/crashTrial.js'
import { EMPTY_REPORT } from '../harness/emptyReport.js'

export interface CrashTrialOptions {
  readonly instances: number
  readonly servers: number
  readonly seeds: number
  /** Requests per second without and with the bad part. */
  readonly sound: number
  readonly bad: number
  /** Position of the bad part in the prompt. */
  readonly position: 0 | 1
  /** Share of the reports between instances that are lost. */
  readonly loss: number
}

/** Means over all seeds, and the largest size of what a report adds, in bytes. */
export interface CrashTrialSummary {
  readonly policy: string
  readonly crashes: number
  readonly lateRuns: number
  /** Share of the sound requests, sent after the bound holds, that began. */
  readonly soundBegun: number
  readonly falselyRefused: number
  /** Longest time until all instances refuse the part, in milliseconds. */
  readonly knownAfterMs: number | undefined
  readonly maxReportBytes: number
}

/**
 * Runs the fleet with each policy and seed.
 *
 * @example
 * await crashTrials({ instances: 8, servers: 6, seeds: 10, sound: 20, bad: 8, ...rest })
 */
export async function crashTrials(opts: CrashTrialOptions): Promise<CrashTrialSummary[]> {
  const summaries: CrashTrialSummary[] = []
  for (const [name, policy] of Object.entries(CRASH_POLICIES))
    summaries.push(await summarize(name, policy, opts))
  return summaries
}

async function summarize(
  name: string,
  policy: CrashPolicy,
  opts: CrashTrialOptions,
): Promise<CrashTrialSummary> {
  let maxReportBytes = 0
  const measuredPolicy: CrashPolicy = (guardOptions) => {
    const guard = policy(guardOptions)
    return {
      ...guard,
      report: () => {
        const report = guard.report()
        if (report) maxReportBytes = Math.max(maxReportBytes, addedBytes(report))
        return report
      },
    }
  }
  const results: CrashFleetResult[] = []
  for (let seed = 1; seed <= opts.seeds; seed += 1) {
    results.push(
      await badTraitTrial({
        seed,
        instances: opts.instances,
        servers: opts.servers,
        soundPerSecond: opts.sound,
        badPerSecond: opts.bad,
        badPosition: opts.position,
        reportLoss: opts.loss,
        policy: measuredPolicy,
      }),
    )
  }
  const total = (valueOf: (result: CrashFleetResult) => number): number =>
    results.reduce((sum, result) => sum + valueOf(result), 0)
  const knownTimes = results.flatMap(({ knownAfterMs }) => knownAfterMs ?? [])
  return {
    policy: name,
    crashes: total(({ crashes }) => crashes) / opts.seeds,
    lateRuns: total(({ lateRuns }) => lateRuns) / opts.seeds,
    soundBegun:
      total(({ lateSoundBegun }) => lateSoundBegun) /
      total(({ lateSoundSent }) => lateSoundSent),
    falselyRefused: total(({ falselyRefused }) => falselyRefused.length) / opts.seeds,
    knownAfterMs:
      knownTimes.length === opts.seeds ? Math.round(Math.max(...knownTimes)) : undefined,
    maxReportBytes,
  }
}

/** Size of what a report says about crashes, in bytes. */
function addedBytes(crashReport: CrashReport): number {
  const emptyBytes = encodeReport(EMPTY_REPORT).length
  return encodeReport({ ...EMPTY_REPORT, crashReport }).length - emptyBytes
}
