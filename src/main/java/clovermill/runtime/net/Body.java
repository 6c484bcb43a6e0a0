package clovermill.runtime.net;

/** The bytes of a body together with their reservation in the budget; its owner closes it. */
public final class Body implements AutoCloseable {

    private final byte[] bytes;
    private final Budget budget;
    private boolean closed;

    /** Takes ownership of bytes that are already reserved in {@code budget}. */
    public Body(byte[] bytes, Budget budget) {
        this.bytes = bytes;
        this.budget = budget;
    }

    /** Returns the bytes without copying them. */
    public byte[] bytes() {
        return bytes;
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            budget.release(bytes.length);
        }
    }
}
