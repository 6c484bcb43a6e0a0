package clovermill.controlplane.eventlog.decide;

import java.util.List;

/**
 * A compacted part of the log that covers all sequence numbers of {@code (from, to]}.
 *
 * @param completeAt the position up to which all events lie that replaced entries missing from the range; at least
 *     {@code to}
 * @param truncatedPrefix the prefix that represents the dropped entries of the range; null if none were dropped
 * @param entries the latest entry of each subject, in order
 */
public record LogRange(long from, long to, long completeAt, TruncatedPrefix truncatedPrefix, List<Entry> entries) {}
