/**
 * Determines the request classes in force before, during and after a reload. Entry type:
 * {@link clovermill.controlplane.reload.decide.RequestClassRegistry}. Pure: no I/O, no clock, no thread.
 */
package clovermill.controlplane.reload.decide;
