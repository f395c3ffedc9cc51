/** Times and counts of membership, at their defaults. */

/** Attempts of one probe before its target is suspected. */
export const PROBE_ATTEMPTS = 4

/** Failed attempts after which a target no longer counts as alive at this node alone. */
export const UNREACHABLE_ATTEMPTS = 2

/** Time that a suspected member has to refute, in milliseconds; several times a usual freeze. */
export const SUSPECT_MS = 60_000

/** Time that a removed member is remembered so that late updates don't bring it back, in milliseconds. */
export const TOMBSTONE_MS = 600_000

/** Gap between two ticks that shows a pause of this process, in milliseconds. */
export const PAUSE_MS = 2_500

/** Time after a pause in which failures count for nothing, in milliseconds. */
export const PAUSE_GRACE_MS = 3_000

/** Latest probes that tell whether this node itself is cut off. */
export const HEALTH_WINDOW = 8

/** Distinct members of a zone that must fail in a row before the zone counts as apart. */
export const ZONE_APART_MEMBERS = 3

/** Buckets of the digest by which two nodes find what they know differently. */
export const DIGEST_BUCKETS = 32

/** Updates in one message. */
export const UPDATES_PER_MESSAGE = 8

/** Times that an update is sent on, per doubling of the number of members. */
export const SENDS_PER_DOUBLING = 1

/** Shortest time between two comparisons of all buckets, in milliseconds. */
export const SYNC_INTERVAL_MS = 5_000
