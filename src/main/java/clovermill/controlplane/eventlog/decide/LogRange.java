package clovermill.controlplane.eventlog.decide;

import java.util.List;

/**
 * A compacted part of the log that covers all sequence numbers of {@code (from, to]}.
 *
 * @param completeAt the position up to which lie all events that replaced entries missing from the range; at least
 *     {@code to}
 * @param truncatedPrefix stands for the entries up to its sequence number; null if none of the range were dropped
 * @param entries the latest entry of each subject, in order
 */
public record LogRange(long from, long to, long completeAt, TruncatedPrefix truncatedPrefix, List<Entry> entries) {}
