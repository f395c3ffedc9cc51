/** Exit codes of `wagtailwayctl`. */
export const EXIT = {
  ok: 0,
  /** The declarations have findings. */
  findings: 1,
  /** The command line is wrong. */
  usage: 2,
  /** The platform is away, or too many operators write at once; try again. */
  unavailable: 3,
  /** Refused: overtaken by another change, or it moves others' traffic. */
  refused: 4,
  /** Not every entry instance has the configuration in force. */
  incomplete: 5,
  /** Nothing is known of what was asked for. */
  notFound: 6,
} as const

export type ExitCode = (typeof EXIT)[keyof typeof EXIT]
