package clovermill.dataplane.upstream;

import clovermill.runtime.net.Connection;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The requests queued on one connection, of which nothing has been written. They begin in batches, each only after
 * everything before it is written, so that a queued request can be withdrawn with proof that nothing of it was sent,
 * and its head carries the time left at the moment of the write.
 */
final class SendQueue {

    /** Requests begin together until this many bytes are queued: one gathered write. */
    private static final int BATCH_BYTES = 1 << 16;

    private final UpstreamPool pool;
    private final Connection connection;
    private final Consumer<UpstreamExchange> expired;
    private final ArrayDeque<UpstreamExchange> queued = new ArrayDeque<>();
    /** Requests begun in this flush, whose write has not been reported. */
    private final List<UpstreamExchange> batch = new ArrayList<>();

    /** {@code expired} is called with each request that may not begin any more, before others begin. */
    SendQueue(UpstreamPool pool, Connection connection, Consumer<UpstreamExchange> expired) {
        this.pool = pool;
        this.connection = connection;
        this.expired = expired;
    }

    void add(UpstreamExchange exchange) {
        queued.add(exchange);
    }

    /** Removes a queued request; false if it has begun or was not queued. */
    boolean remove(UpstreamExchange exchange) {
        return queued.remove(exchange);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** A copy, for callbacks that change the queue. */
    List<UpstreamExchange> snapshot() {
        return List.copyOf(queued);
    }

    void clear() {
        queued.clear();
        batch.clear();
    }

    /** Begins requests, if nothing unwritten precedes them, until a batch is full. */
    void beginBatch(long nowUs) {
        if (connection.queuedBytes() > 0) {
            return;
        }
        // The callback may cancel other requests; it runs before any of this batch has begun.
        while (!queued.isEmpty() && !queued.peek().mayBegin(nowUs)) {
            expired.accept(queued.poll());
        }
        while (connection.queuedBytes() < BATCH_BYTES && !queued.isEmpty() && queued.peek().mayBegin(nowUs)) {
            begin(queued.poll(), nowUs);
        }
    }

    private void begin(UpstreamExchange exchange, long nowUs) {
        batch.add(exchange);
        List<ByteBuffer> parts = exchange.begin(nowUs);
        int last = parts.size() - 1;
        for (int i = 0; i < last; i++) {
            connection.send(parts.get(i));
        }
        connection.send(parts.get(last), () -> exchange.writeEnded(connection.isOpen()));
    }

    /** Queues the requests of the batch again of which no byte was written; they begin anew with the time left then. */
    void retractUnwritten() {
        for (int i = batch.size() - 1; i >= 0 && connection.retractFrom(batch.get(i).head()); i--) {
            UpstreamExchange retracted = batch.remove(i);
            retracted.retracted();
            queued.addFirst(retracted);
        }
    }

    /** Ends the batch after its write; returns whether bytes of it were written. */
    boolean endBatch() {
        boolean written = !batch.isEmpty();
        for (int i = 0; i < batch.size(); i++) {
            pool.cancel(batch.get(i).beginTimeout);
        }
        batch.clear();
        return written;
    }
}
