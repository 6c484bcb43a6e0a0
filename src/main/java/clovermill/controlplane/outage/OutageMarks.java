package clovermill.controlplane.outage;

/** Records outages for the other processes of this director and for its later starts. */
public interface OutageMarks {

    /** For a director of one process: nothing is recorded, as nothing outlives the process. */
    OutageMarks NONE = new OutageMarks() {
        @Override
        public void takeOut(String id) {}

        @Override
        public void putBack(String id, long stampUnixMs) {}

        @Override
        public boolean tryPutBack(String id, long stampUnixMs) {
            return true;
        }

        @Override
        public boolean isRecorded(String id) {
            return true;
        }
    };

    /** Marks a cache as out. A mark that cannot be recorded now is tried again until it is. */
    void takeOut(String id);

    /**
     * Marks a cache as back. A mark that cannot be recorded now is tried again until it is.
     *
     * @param stampUnixMs identifies this return among those of the cache
     */
    void putBack(String id, long stampUnixMs);

    /**
     * Marks a cache as back if that can be recorded now; otherwise it stays out.
     *
     * @param stampUnixMs identifies this return among those of the cache
     * @return whether it is recorded
     */
    boolean tryPutBack(String id, long stampUnixMs);

    /** Whether the last mark of a cache is recorded, so that it outlives this process. */
    boolean isRecorded(String id);
}
