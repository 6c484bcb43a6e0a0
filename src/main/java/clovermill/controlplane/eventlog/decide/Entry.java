package clovermill.controlplane.eventlog.decide;

/** An event at its place in the log; sequence numbers begin with 1. */
public record Entry(long sequence, Event event) {

    private static final int VARINT_BITS = 7;

    /** Bytes on the wire after the sequence number {@code previous}: the difference as a varint, then the event. */
    public int bytes(long previous) {
        int size = 1;
        for (long left = (sequence - previous) >>> VARINT_BITS; left != 0; left >>>= VARINT_BITS) {
            size++;
        }
        return size + event.bytes();
    }
}
