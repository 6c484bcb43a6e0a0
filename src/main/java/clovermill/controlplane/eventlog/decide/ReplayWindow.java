package clovermill.controlplane.eventlog.decide;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Protection against replays: accepts each packet of a sender once, by a sliding window of 64 sequence numbers (RFC
 * 4303, 3.4.3) for each of the sender's last incarnations. A packet older than the window is rejected. Not thread-safe.
 */
public final class ReplayWindow {

    private static final int WIDTH = 64;
    /** The maximum number of incarnations remembered; the least recently used is evicted. */
    private static final int MAX_INCARNATIONS = 4;

    private static final class Window {
        private long highest = Long.MIN_VALUE;
        private long accepted;
    }

    private final Map<Long, Window> windows = new LinkedHashMap<>();

    /** Accepts a packet and returns true, or returns false if it was, or may have been, received before. */
    public boolean accept(long incarnation, long number) {
        Window window = windows.remove(incarnation);
        window = window == null ? new Window() : window;
        windows.put(incarnation, window);
        if (windows.size() > MAX_INCARNATIONS) {
            windows.remove(windows.keySet().iterator().next());
        }
        if (window.highest == Long.MIN_VALUE || number > window.highest) {
            long by = window.highest == Long.MIN_VALUE ? WIDTH : number - window.highest;
            window.accepted = (by >= WIDTH ? 0 : window.accepted << by) | 1;
            window.highest = number;
            return true;
        }
        long back = window.highest - number;
        if (back >= WIDTH || (window.accepted & 1L << back) != 0) {
            return false;
        }
        window.accepted |= 1L << back;
        return true;
    }
}
