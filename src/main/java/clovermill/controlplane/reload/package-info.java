/**
 * Reloads the configuration of a running director.
 *
 * <p>Entry type: {@link clovermill.controlplane.reload.ConfigReloader}, which checks the file on the loop, after SIGHUP
 * or all the time where SIGHUP is not delivered; {@link clovermill.controlplane.reload.Signals} detects which of the
 * two holds. {@link clovermill.controlplane.reload.ConfigWatch} decides, without I/O, when the file is read and when an
 * unusable one is logged; {@link clovermill.controlplane.reload.decide.RequestClassRegistry} decides which request
 * classes are in force meanwhile.
 */
package clovermill.controlplane.reload;
