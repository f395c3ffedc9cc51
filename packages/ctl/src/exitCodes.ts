/** Exit codes of `wagtailwayctl`. */
export const EXIT = {
  ok: 0,
  /** The declarations have findings. */
  findings: 1,
  /** The command line is wrong. */
  usage: 2,
  /** The platform is unavailable, or too many operators write at the same time; retry. */
  unavailable: 3,
  /**
   * Refused: the document was changed in the meantime, or the change moves other owners'
   * traffic or reinstates versions.
   */
  refused: 4,
  /** Not enough entry instances hold the configuration: all for `status`, half for a change. */
  incomplete: 5,
  /** The request or the version is unknown. */
  notFound: 6,
} as const

export type ExitCode = (typeof EXIT)[keyof typeof EXIT]
