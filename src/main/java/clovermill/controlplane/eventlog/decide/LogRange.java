package clovermill.controlplane.eventlog.decide;

import java.util.List;

/**
 * A part of the log that covers all sequence numbers of {@code (from, to]}.
 *
 * @param completeAt the position at which everything that replaced entries missing from the range has been seen; at
 *     least {@code to}
 * @param clear in place of the entries up to its sequence number, or null where none is needed
 * @param entries the latest entry of each subject, in order
 */
public record LogRange(long from, long to, long completeAt, TruncatedPrefix clear, List<Entry> entries) {}
