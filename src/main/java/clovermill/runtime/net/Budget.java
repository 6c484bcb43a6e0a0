package clovermill.runtime.net;

import java.lang.System.Logger.Level;
import java.util.ArrayDeque;

/**
 * A limit on the total size of all bodies in memory. A connection whose reservation fails stops reading until its
 * callback is called after a release. A body is reserved in full before it is read, so that no two connections wait for
 * each other.
 */
public final class Budget {

    private static final System.Logger LOG = System.getLogger(Budget.class.getName());

    private final long limitBytes;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long usedBytes;
    /** True from a failed reservation until half of the limit is free again. */
    private boolean exhausted;

    /** Creates a budget of {@code limitBytes}. */
    public Budget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes and returns true, or returns false if they exceed the limit; an empty budget grants any size. */
    public boolean tryReserve(int bytes) {
        if (usedBytes > 0 && usedBytes + bytes > limitBytes) {
            reportExhausted();
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    private void reportExhausted() {
        if (!exhausted) {
            exhausted = true;
            LOG.log(Level.WARNING,
                    "the memory for bodies is used up, connections wait for it: {0} of {1} bytes are reserved",
                    Long.toString(usedBytes), Long.toString(limitBytes));
        }
    }

    /** Releases bytes and calls the waiting callbacks in the order of their registration. */
    public void release(int bytes) {
        usedBytes -= bytes;
        reportRecovered();
        for (int i = waiting.size(); i > 0 && usedBytes < limitBytes; i--) {
            waiting.poll().run();
        }
    }

    private void reportRecovered() {
        if (exhausted && usedBytes <= limitBytes / 2) {
            exhausted = false;
            LOG.log(Level.INFO, "half of the memory for bodies is free again");
        }
    }

    /** Registers {@code callback} to be called once after bytes have been released. */
    public void await(Runnable callback) {
        waiting.add(callback);
    }

    /** Returns the number of reserved bytes. */
    public long used() {
        return usedBytes;
    }
}
