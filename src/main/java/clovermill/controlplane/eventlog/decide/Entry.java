package clovermill.controlplane.eventlog.decide;

/** An event with its sequence number in the log; sequence numbers start at 1. */
public record Entry(long sequence, Event event) {

    private static final int VARINT_BITS = 7;

    /**
     * Returns the size on the wire: the difference to the sequence number before as a varint, then the event.
     *
     * @param previous the sequence number before
     */
    public int bytes(long previous) {
        int size = 1;
        for (long left = (sequence - previous) >>> VARINT_BITS; left != 0; left >>>= VARINT_BITS) {
            size++;
        }
        return size + event.bytes();
    }
}
