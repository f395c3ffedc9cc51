/** Durations and limits of the membership protocol. */

/** Consecutive failed probes after which a member becomes suspect. */
export const PROBE_ATTEMPTS = 4

/**
 * Consecutive failed probes after which this node no longer treats a member as alive;
 * other nodes aren't notified yet.
 */
export const UNREACHABLE_ATTEMPTS = 2

/**
 * Time a suspect member has to refute the suspicion, in milliseconds; several times
 * the length of a usual process freeze.
 */
export const SUSPECT_MS = 60_000

/**
 * Time for which the tombstone of a removed member is retained, in milliseconds, so that
 * late updates don't bring the member back.
 */
export const TOMBSTONE_MS = 600_000

/** Gap between two ticks beyond which this process counts as paused, in milliseconds. */
export const PAUSE_MS = 2_500

/** Time after a pause during which failed probes are ignored, in milliseconds. */
export const PAUSE_GRACE_MS = 3_000

/** Number of latest probe results that decide whether this node itself is isolated. */
export const HEALTH_WINDOW = 8

/**
 * Distinct members of a zone that must fail, with no success in between, before the
 * zone counts as unreachable.
 */
export const UNREACHABLE_ZONE_MEMBERS = 3

/** Buckets of the digest that two nodes compare to find members on which they differ. */
export const DIGEST_BUCKETS = 32

/** Maximum number of queued updates in one message. */
export const UPDATES_PER_MESSAGE = 8

/** Times that each node forwards an update, per doubling of the number of members. */
export const SENDS_PER_DOUBLING = 1

/**
 * Minimum time between two messages that carry the hashes of all buckets, in
 * milliseconds.
 */
export const SYNC_INTERVAL_MS = 5_000
