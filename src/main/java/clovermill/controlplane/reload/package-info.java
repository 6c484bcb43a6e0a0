/**
 * New configurations for a director in service. {@link clovermill.controlplane.reload.Signals} says whether a signal
 * can be heard at all; {@link clovermill.controlplane.reload.ConfigReloader} looks at the file on the loop, at SIGHUP
 * or
 * all the time where SIGHUP is ignored; {@link clovermill.controlplane.reload.ConfigWatch} decides, without I/O, when
 * a file is read and when an unusable one is worth a line in the log.
 */
package clovermill.controlplane.reload;
