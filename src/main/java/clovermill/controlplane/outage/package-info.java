/**
 * Caches that operators have taken out. {@link clovermill.controlplane.outage.OutageRegistry} knows which they are
 * and what
 * that makes of the list; {@link clovermill.controlplane.outage.OutageFolder} keeps it where the processes of one
 * director share a folder.
 */
package clovermill.controlplane.outage;
