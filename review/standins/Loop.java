import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/** One thread with a selector and timers, on which all stand-ins of a case run. Loopback addresses only. */
final class Loop {

    /** Receives what happens on a connection. */
    interface Handler {
        void received(ByteBuffer data);

        /** The peer has closed or reset the connection. */
        default void ended() {}

        default void connected() {}
    }

    /** One TCP connection. */
    final class Conn {
        final SocketChannel channel;
        private SelectionKey key;
        Handler handler;
        private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        boolean open = true;

        Conn(SocketChannel channel) {
            this.channel = channel;
        }

        void send(byte[]... parts) {
            for (byte[] part : parts) {
                out.add(ByteBuffer.wrap(part));
            }
            flush();
        }

        private void flush() {
            if (!open || !channel.isConnected()) {
                return;
            }
            try {
                while (!out.isEmpty()) {
                    channel.write(out.peek());
                    if (out.peek().hasRemaining()) {
                        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                        return;
                    }
                    out.poll();
                }
                key.interestOps(SelectionKey.OP_READ);
            } catch (IOException failure) {
                lost();
            }
        }

        void close() {
            if (open) {
                open = false;
                try {
                    channel.close();
                } catch (IOException ignored) {
                    // it is gone
                }
            }
        }

        private void lost() {
            if (open) {
                close();
                handler.ended();
            }
        }

        private void ready() {
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(SelectionKey.OP_READ);
                    handler.connected();
                    flush();
                    return;
                }
                if (key.isWritable()) {
                    flush();
                }
                if (open && key.isReadable()) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count < 0) {
                        lost();
                    } else {
                        handler.received(buffer.flip());
                    }
                }
            } catch (IOException failure) {
                lost();
            }
        }
    }

    /** A timer; {@code at} in nanoseconds. */
    static final class Timer implements Comparable<Timer> {
        private final long at;
        private final long number;
        private Runnable task;

        private Timer(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        void cancel() {
            task = () -> {};
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final Selector selector;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 16);
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "stand-ins");
    private long timerCount;
    private volatile boolean stopped;

    Loop() throws IOException {
        selector = Selector.open();
        thread.setDaemon(true);
        thread.start();
    }

    /** Listens at a free port of 127.0.0.1; returns the channel, which may be closed. */
    ServerSocketChannel listen(Function<Conn, Handler> handlers) throws IOException {
        return listen(0, handlers);
    }

    ServerSocketChannel listen(int port, Function<Conn, Handler> handlers) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.configureBlocking(false);
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        call(() -> server.register(selector, SelectionKey.OP_ACCEPT, handlers));
        return server;
    }

    static int port(ServerSocketChannel server) {
        return server.socket().getLocalPort();
    }

    /** Dials; on the loop's thread. */
    Conn connect(int port, Function<Conn, Handler> handlers) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        Conn conn = new Conn(channel);
        conn.handler = handlers.apply(conn);
        boolean connected = channel.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        conn.key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, conn);
        if (connected) {
            conn.handler.connected();
            conn.flush();
        }
        return conn;
    }

    /** Runs a task on the loop after so many milliseconds; on the loop's thread. */
    Timer after(double ms, Runnable task) {
        Timer timer = new Timer(System.nanoTime() + (long) (ms * 1e6), timerCount++, task);
        timers.add(timer);
        return timer;
    }

    void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Runs a task on the loop and waits for its result. */
    <T> T call(Callable<T> task) {
        if (Thread.currentThread() == thread) {
            try {
                return task.call();
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        post(() -> {
            try {
                result.complete(task.call());
            } catch (Exception failure) {
                result.completeExceptionally(failure);
            }
        });
        return result.join();
    }

    void stop() {
        stopped = true;
        selector.wakeup();
    }

    @SuppressWarnings("unchecked")
    private void serve(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof Conn conn) {
            conn.ready();
            return;
        }
        try {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            while (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                Conn conn = new Conn(channel);
                conn.key = channel.register(selector, SelectionKey.OP_READ, conn);
                conn.handler = ((Function<Conn, Handler>) key.attachment()).apply(conn);
                channel = ((ServerSocketChannel) key.channel()).accept();
            }
        } catch (IOException failure) {
            // the peer has gone, or the listener is closed
        }
    }

    private void run() {
        try {
            while (!stopped) {
                long waitNs = timers.isEmpty() ? 100_000_000 : timers.peek().at - System.nanoTime();
                if (waitNs <= 0) {
                    selector.selectNow(this::serve);
                } else {
                    selector.select(this::serve, Math.min(100, Math.max(1, (waitNs + 999_999) / 1_000_000)));
                }
                for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                    task.run();
                }
                long now = System.nanoTime();
                while (!timers.isEmpty() && timers.peek().at <= now) {
                    timers.poll().task.run();
                }
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }
}
