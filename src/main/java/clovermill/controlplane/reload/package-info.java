/**
 * Reloads the configuration of a running director.
 *
 * <p>Entry type: {@link clovermill.controlplane.reload.ConfigReloader}, which checks the file on the loop, after SIGHUP
 * or continuously if SIGHUP is not delivered; {@link clovermill.controlplane.reload.Signals} detects which is the case.
 * {@link clovermill.controlplane.reload.ConfigWatch} decides, without I/O, when the file is read and when an invalid
 * file is logged; {@link clovermill.controlplane.reload.decide.RequestClassRegistry} determines the request classes in
 * force during a reload.
 */
package clovermill.controlplane.reload;
