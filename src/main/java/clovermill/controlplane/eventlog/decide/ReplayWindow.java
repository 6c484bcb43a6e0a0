package clovermill.controlplane.eventlog.decide;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Takes each packet of a sender once: a sliding window of 64 sequence numbers (RFC 4303, 3.4.3) for each of the last
 * starts of the sender. A packet that is older than the window counts as taken. Not thread-safe.
 */
public final class ReplayWindow {

    private static final int WIDTH = 64;
    /** Starts remembered; at one more the start that was silent longest is forgotten. */
    private static final int MOST_BOOTS = 4;

    private static final class Window {
        private long highest = Long.MIN_VALUE;
        private long taken;
    }

    private final Map<Long, Window> boots = new LinkedHashMap<>();

    /** Whether a packet comes for the first time, as far as is known. */
    public boolean take(long boot, long number) {
        Window window = boots.remove(boot);
        window = window == null ? new Window() : window;
        boots.put(boot, window);
        if (boots.size() > MOST_BOOTS) {
            boots.remove(boots.keySet().iterator().next());
        }
        if (window.highest == Long.MIN_VALUE || number > window.highest) {
            long by = window.highest == Long.MIN_VALUE ? WIDTH : number - window.highest;
            window.taken = (by >= WIDTH ? 0 : window.taken << by) | 1;
            window.highest = number;
            return true;
        }
        long back = window.highest - number;
        if (back >= WIDTH || (window.taken & 1L << back) != 0) {
            return false;
        }
        window.taken |= 1L << back;
        return true;
    }
}
