package clovermill.controlplane.outage;

/** Where outages are marked for other processes of this director. */
public interface OutageMarks {

    /** For a director of one process. */
    OutageMarks NONE = new OutageMarks() {
        @Override
        public void takeOut(String id) {}

        @Override
        public void putBack(String id, long stampMs) {}

        @Override
        public boolean tryPutBack(String id, long stampMs) {
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
     * Marks a cache as back, with a Unix millisecond that tells this return from others. A mark that cannot be recorded
     * now is tried again until it is.
     */
    void putBack(String id, long stampMs);

    /** Marks a cache as back if that can be recorded now; otherwise it stays as it was, and the result is false. */
    boolean tryPutBack(String id, long stampMs);

    /** Whether the last mark of a cache is recorded, so that it outlives this process. */
    boolean isRecorded(String id);
}
