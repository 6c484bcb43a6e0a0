package clovermill.prove.scale;

import java.util.Arrays;

/**
 * Records when each event took effect at the directors of a process, and how often one took effect at a director after
 * an event that was published later. Events are numbered from 0 in the order of publication.
 */
final class DeliveryLog {

    static final int MAX_EVENTS = 1 << 16;

    private final int[] counts = new int[MAX_EVENTS];
    private final long[] lastMs = new long[MAX_EVENTS];
    private final int[] latest;
    private long outOfOrder;

    /** Creates a log for directors that are numbered from 0 within the process. */
    DeliveryLog(int directors) {
        latest = new int[directors];
        Arrays.fill(latest, -1);
    }

    synchronized void delivered(int director, int event, long nowMs) {
        counts[event]++;
        lastMs[event] = Math.max(lastMs[event], nowMs);
        outOfOrder += event < latest[director] ? 1 : 0;
        latest[director] = Math.max(latest[director], event);
    }

    /** Returns, for each event of a range, the number of directors at which it is in force. */
    synchronized int[] counts(int from, int to) {
        return Arrays.copyOfRange(counts, from, to);
    }

    /** Returns, for each event of a range, when it last took effect at a director, in Unix milliseconds. */
    synchronized long[] lastMs(int from, int to) {
        return Arrays.copyOfRange(lastMs, from, to);
    }

    /** Returns the number of deliveries after an event that was published later. */
    synchronized long outOfOrder() {
        return outOfOrder;
    }
}
