/** The part of vega's statistics that is used here; its types leave it out. */
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
