package clovermill.runtime.net;

import java.util.ArrayDeque;

/**
 * A limit on the total size of all bodies in memory. A connection whose reservation fails stops reading until its
 * callback is called after a release. A body is reserved in full before it is read, so that no two connections wait for
 * each other.
 */
public final class Budget {

    private final long limitBytes;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long usedBytes;

    /** Creates a budget of {@code limitBytes}. */
    public Budget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes and returns true, or returns false if they exceed the limit; an empty budget grants any size. */
    public boolean tryReserve(int bytes) {
        if (usedBytes > 0 && usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Releases bytes and calls the waiting callbacks in the order of their registration. */
    public void release(int bytes) {
        usedBytes -= bytes;
        for (int i = waiting.size(); i > 0 && usedBytes < limitBytes; i--) {
            waiting.poll().run();
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
