/**
 * Declares the regression functions of vega that are used here; its own types omit
 * them.
 */
import 'vega'

/** A fitted curve. */
export interface RegressionFit {
  readonly predict: (x: number) => number
  readonly rSquared: number
}

declare module 'vega' {
  export function regressionLinear<T>(
    data: readonly T[],
    x: (datum: T) => number,
    y: (datum: T) => number,
  ): RegressionFit
  export function regressionLog<T>(
    data: readonly T[],
    x: (datum: T) => number,
    y: (datum: T) => number,
  ): RegressionFit
}
