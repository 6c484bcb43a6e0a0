package clovermill.controlplane.outage;

/** Records which caches are disabled, for the other processes of this director and for its later starts. */
public interface OutageMarks {

    /** Records nothing; for a director with a single process, whose outages do not outlive it. */
    OutageMarks NONE = new OutageMarks() {
        @Override
        public void disable(String id) {}

        @Override
        public void enable(String id, long stampUnixMs) {}

        @Override
        public boolean tryEnable(String id, long stampUnixMs) {
            return true;
        }

        @Override
        public boolean isRecorded(String id) {
            return true;
        }
    };

    /** Marks a cache as disabled. If the mark cannot be recorded now, recording is retried until it succeeds. */
    void disable(String id);

    /**
     * Marks a cache as enabled. If the mark cannot be recorded now, recording is retried until it succeeds.
     *
     * @param stampUnixMs identifies this call among the enable calls for the cache
     */
    void enable(String id, long stampUnixMs);

    /**
     * Marks a cache as enabled if that can be recorded now; otherwise it remains disabled.
     *
     * @param stampUnixMs identifies this call among the enable calls for the cache
     * @return whether the mark is recorded
     */
    boolean tryEnable(String id, long stampUnixMs);

    /** Returns whether the last mark of a cache is recorded and therefore outlives this process. */
    boolean isRecorded(String id);
}
