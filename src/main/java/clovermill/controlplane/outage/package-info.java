/**
 * Outages: caches that operators have taken out.
 *
 * <p>{@link clovermill.controlplane.outage.OutageRegistry} has the outages that are in force in this process, and when
 * caches came back. {@link clovermill.controlplane.outage.OutageFolder} records them in a folder that the processes of
 * one director share, so that they outlive a process; a mark that cannot be written is pending and tried again.
 * {@link clovermill.controlplane.outage.OutageMarks} is what callers see of it. Everything here runs on the event loop.
 */
package clovermill.controlplane.outage;
