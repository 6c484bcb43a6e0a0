package clovermill.controlplane.discovery;

/**
 * A purge that was applied some time ago.
 *
 * @param ageUs the time since then in microseconds; the purge is at least as old
 */
record AgedPurge(CopiesPurged purge, long ageUs) {}
