package clovermill.runtime.net;

import java.util.ArrayDeque;

/**
 * Bounds the bytes of all bodies held at once. A connection that finds no room stops reading and is called
 * when there is some again; what has been granted can always be completed, so no two wait for each other.
 */
public final class Budget {

    private final long limit;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long used;

    public Budget(long limit) {
        this.limit = limit;
    }

    /** Takes so many bytes if there is room; a single body always finds room in an empty budget. */
    public boolean take(int bytes) {
        if (used > 0 && used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Gives bytes back, and calls those that wait in the order in which they came. */
    public void give(int bytes) {
        used -= bytes;
        for (int i = waiting.size(); i > 0 && used < limit; i--) {
            waiting.poll().run();
        }
    }

    /** Has {@code room} called once when bytes are given back. */
    public void await(Runnable room) {
        waiting.add(room);
    }

    public long used() {
        return used;
    }
}
