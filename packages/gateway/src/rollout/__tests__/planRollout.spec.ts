import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { planExposure, planRollout, type RolloutInputs } from '../planRollout.js'

const INPUTS: RolloutInputs = {
  elapsedMs: 0,
  durationMs: 24_000,
  share: 0,
  exposure: { share: 0.15, slack: 0 },
  requestsPerSecond: 100,
  verdict: 'good',
  hasBaseline: true,
  suspectForMs: 0,
  fullShareForMs: 0,
  runningOnOldVersion: 3,
}

const { canaryShare } = planExposure(INPUTS)

/** Simulates a rollout whose steps take effect at once; returns the time of each step. */
function simulate(
  overridesAt: (elapsedMs: number) => Partial<RolloutInputs>,
  untilMs = INPUTS.durationMs,
): [number, string][] {
  const steps: [number, string][] = []
  let share = 0
  let suspectSinceMs: number | undefined
  let fullShareSinceMs: number | undefined
  for (let elapsedMs = 0; elapsedMs <= untilMs; elapsedMs += 250) {
    const inputs = { ...INPUTS, elapsedMs, share, ...overridesAt(elapsedMs) }
    suspectSinceMs =
      inputs.verdict === 'suspect' ? (suspectSinceMs ?? elapsedMs) : undefined
    const step = planRollout({
      ...inputs,
      suspectForMs: elapsedMs - (suspectSinceMs ?? elapsedMs),
      fullShareForMs: elapsedMs - (fullShareSinceMs ?? elapsedMs),
    })
    if (step.type === 'wait') continue
    steps.push([elapsedMs, step.type === 'grow' ? `grow ${step.share}` : step.type])
    if (step.type !== 'grow') break
    share = step.share
    if (share === 1) fullShareSinceMs = elapsedMs
  }
  return steps
}

describe('planRollout', () => {
  it('moves all sessions after half of the duration and completes before the deadline', () => {
    const steps = simulate(() => ({}))
    const [canary, fullShift, completion] = steps
    assert.deepEqual(canary?.[1], `grow ${canaryShare}`)
    assert.ok((fullShift?.[0] ?? 0) >= 12_000)
    assert.equal(fullShift?.[1], 'grow 1')
    assert.equal(completion?.[1], 'complete')
    assert.ok((completion?.[0] ?? Infinity) <= 23_250)
  })

  it('keeps a version without symptoms within the allowed exposure', () => {
    for (const share of [0.05, 0.0975, 0.15, 0.3, 0.9]) {
      for (const durationMs of [12_000, 24_000, 60_000]) {
        for (const [slack, requestsPerSecond] of [
          [0, undefined],
          [30, undefined],
          [30, 0.5],
          [30, 2],
          [30, 16],
          [30, 200],
        ] as const) {
          const exposure = { share, slack }
          const plan = planExposure({ durationMs, exposure, requestsPerSecond })
          const fullMs = durationMs - plan.fullShiftMs
          const exposedMs = plan.canaryShare * (durationMs - fullMs) + fullMs
          // An unknown rate may be high, so the slack doesn't count.
          const slackMs = requestsPerSecond ? (slack / requestsPerSecond) * 1_000 : 0
          assert.ok(
            exposedMs <= share * durationMs + slackMs,
            JSON.stringify({ share, durationMs, slack, requestsPerSecond, plan }),
          )
        }
      }
    }
  })

  it('spends the allowed exposure on a canary that can tell a bad version', () => {
    const durationMs = 15_000
    const requestsPerSecond = 16
    const exposure = { share: 0.15, slack: 30 }
    const plan = planExposure({ durationMs, exposure, requestsPerSecond })
    const seconds = plan.fullShiftMs / 1_000 - 1.5
    assert.ok(plan.canaryShare * requestsPerSecond * seconds >= 17)
  })

  it('completes early once the old version has no requests in progress', () => {
    const [, fullShift, completion] = simulate(() => ({ runningOnOldVersion: 0 }))
    assert.equal(completion?.[1], 'complete')
    assert.ok((completion?.[0] ?? Infinity) - (fullShift?.[0] ?? 0) <= 750)
  })

  it('rolls back a bad version at once, even after all sessions have moved', () => {
    for (const badFromMs of [5_000, 23_000]) {
      const steps = simulate((ms) => ({
        verdict: ms >= badFromMs ? 'bad' : 'good',
      }))
      assert.deepEqual(steps.at(-1), [badFromMs, 'roll_back'])
    }
  })

  it('never completes a suspect version, and rolls it back at the deadline', () => {
    const steps = simulate(() => ({ verdict: 'suspect', runningOnOldVersion: 0 }))
    assert.deepEqual(
      steps.map(([, step]) => step),
      [`grow ${canaryShare}`, 'grow 1', 'roll_back'],
    )
    assert.ok((steps.at(-1)?.[0] ?? Infinity) <= 23_250)
  })

  it('completes a version that was suspect for a while', () => {
    const steps = simulate((ms) => ({ verdict: ms < 20_000 ? 'suspect' : 'good' }))
    assert.equal(steps.at(-1)?.[1], 'complete')
  })

  it('never completes a version that is still undecided, also after the deadline', () => {
    const steps = simulate(
      () => ({ verdict: 'undecided', runningOnOldVersion: 0 }),
      INPUTS.durationMs * 4,
    )
    assert.deepEqual(
      steps.map(([, step]) => step),
      [`grow ${canaryShare}`, 'grow 1'],
    )
  })

  it('keeps requests on the old version until there is something to compare with', () => {
    const steps = simulate((ms) => ({ hasBaseline: ms >= 23_500 }))
    assert.deepEqual(
      steps.find(([, step]) => step === 'grow 1'),
      [23_500, 'grow 1'],
    )
  })

  it('completes a version that is shown to be good after the deadline', () => {
    const shownAtMs = INPUTS.durationMs + 3_000
    const steps = simulate(
      (ms) => ({ verdict: ms < shownAtMs ? 'undecided' : 'good' }),
      INPUTS.durationMs * 2,
    )
    assert.deepEqual(steps.at(-1), [shownAtMs, 'complete'])
  })

  it('does not roll back a version that became suspect just before its deadline', () => {
    const suspectFromMs = INPUTS.durationMs - 1_000
    const steps = simulate(
      (ms) => ({ verdict: ms < suspectFromMs ? 'undecided' : 'suspect' }),
      INPUTS.durationMs,
    )
    assert.equal(steps.at(-1)?.[1], 'grow 1')
  })

  it('completes a version only after some responses under its full load', () => {
    const steps = simulate(() => ({ requestsPerSecond: 16, runningOnOldVersion: 0 }))
    const [, fullShift, completion] = steps
    assert.ok((completion?.[0] ?? 0) - (fullShift?.[0] ?? 0) >= 900)
  })
})
