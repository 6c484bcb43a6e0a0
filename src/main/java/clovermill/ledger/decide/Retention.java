package clovermill.ledger.decide;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which segments to delete: the oldest ones beyond an age or a total size, if all of their records are in
 * periods that were closed, exported and acknowledged. No segment after a retained one is deleted.
 */
public final class Retention {

    /** A segment; none of its records has a time after {@code latestMs}. */
    public record Segment(String name, long bytes, long latestMs) {}

    private Retention() {}

    /**
     * Returns the segments to delete.
     *
     * @param segments the segments in order, without the one being written
     * @param deliveredMs the time through which all periods have been acknowledged
     * @param maxDays the maximum age; negative for no limit
     * @param maxBytes the maximum total size; negative for no limit
     */
    public static List<Segment> expired(List<Segment> segments, long deliveredMs, long nowMs, long maxDays,
            long maxBytes) {
        long bytes = segments.stream().mapToLong(Segment::bytes).sum();
        List<Segment> result = new ArrayList<>();
        for (Segment segment : segments) {
            boolean tooOld = maxDays >= 0 && segment.latestMs < nowMs - maxDays * 86_400_000;
            boolean overSize = maxBytes >= 0 && bytes > maxBytes;
            if (segment.latestMs > deliveredMs || !tooOld && !overSize) {
                break;
            }
            bytes -= segment.bytes;
            result.add(segment);
        }
        return result;
    }
}
