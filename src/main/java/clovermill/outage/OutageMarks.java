package clovermill.outage;

/** Where outages are marked for other processes of this director. */
public interface OutageMarks {

    /** For a director of one process. */
    OutageMarks NONE = new OutageMarks() {
        @Override
        public void takeOut(String id) {}

        @Override
        public void putBack(String id, long stampMs) {}
    };

    /** Marks a cache as out. */
    void takeOut(String id);

    /** Marks a cache as back, with a Unix millisecond that tells this return from others. */
    void putBack(String id, long stampMs);
}
