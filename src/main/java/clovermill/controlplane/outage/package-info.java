/**
 * Outages: caches that operators have disabled.
 *
 * <p>{@link clovermill.controlplane.outage.OutageRegistry} contains the outages in force in this process, and when
 * caches were enabled. {@link clovermill.controlplane.outage.OutageFolder} records them in a folder that the processes
 * of one director share, so that they outlive a process; a mark that cannot be written is pending and retried. {@link
 * clovermill.controlplane.outage.OutageMarks} is its interface to callers. Everything runs on the event loop.
 */
package clovermill.controlplane.outage;
