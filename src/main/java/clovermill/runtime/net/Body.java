package clovermill.runtime.net;

/** The bytes of a body together with their place in the budget; the holder closes it once. */
public final class Body implements AutoCloseable {

    private final byte[] bytes;
    private final Budget budget;
    private boolean closed;

    /** Takes over bytes for which {@code budget} has already been taken. */
    public Body(byte[] bytes, Budget budget) {
        this.bytes = bytes;
        this.budget = budget;
    }

    public byte[] bytes() {
        return bytes;
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            budget.give(bytes.length);
        }
    }
}
