package clovermill.runtime.task;

import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.function.Consumer;

/**
 * The thread of one task, its bounded mailbox and, if it has one, its UDP socket. A failure of the task is one line in
 * the log, after which its owner is told on this thread; the socket is given back whatever ends it.
 */
public final class TaskThread<M> implements Mailbox<M> {

    private static final System.Logger LOG = System.getLogger(TaskThread.class.getName());
    private static final int LARGEST_DATAGRAM = 1 << 16;
    /** Datagrams and messages taken in one turn, lest a flood of either starves the ticks. */
    private static final int TURN = 64;

    private final String name;
    private final Clock clock;
    private final Task<M> task;
    private final ArrayBlockingQueue<M> queue;
    private final Selector selector;
    private final DatagramChannel socket;
    private final Consumer<ByteBuffer> datagrams;
    private final Consumer<Throwable> failed;
    private final Thread thread;
    private volatile boolean ending;

    /**
     * A thread that is yet to be started. {@code socket} may be null; what comes on it goes to {@code datagrams}, on
     * the task's thread. {@code failed} is told if the task throws.
     */
    public TaskThread(String name, Clock clock, Task<M> task, int room, DatagramChannel socket,
            Consumer<ByteBuffer> datagrams, Consumer<Throwable> failed) throws IOException {
        this.name = name;
        this.clock = clock;
        this.task = task;
        this.queue = new ArrayBlockingQueue<>(room);
        this.selector = Selector.open();
        this.socket = socket;
        this.datagrams = datagrams;
        this.failed = failed;
        if (socket != null) {
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_READ);
        }
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Begins. */
    public void start() {
        thread.start();
    }

    @Override
    public boolean offer(M message) {
        boolean taken = !ending && queue.offer(message);
        if (taken && Thread.currentThread() != thread) {
            selector.wakeup();
        }
        return taken;
    }

    /** Ends it once what its mailbox holds has been taken; returns when it has ended, or after so many milliseconds. */
    public void stop(long mostMs) throws InterruptedException {
        ending = true;
        selector.wakeup();
        thread.join(mostMs);
    }

    private void run() {
        try {
            ByteBuffer buffer = ByteBuffer.allocate(LARGEST_DATAGRAM);
            while (!ending) {
                long nextUs = task.tick(clock.micros());
                long waitMs = (nextUs - clock.micros() + 999) / 1000;
                if (!queue.isEmpty() || waitMs <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(waitMs);
                }
                selector.selectedKeys().clear();
                receive(buffer);
                take(TURN);
            }
            take(Integer.MAX_VALUE);
            task.stop(clock.micros());
        } catch (IOException | RuntimeException | StackOverflowError fault) {
            LOG.log(Level.ERROR, name + " has ended after a fault", fault);
            ending = true;
            failed.accept(fault);
        } finally {
            quietly(socket);
            quietly(selector);
        }
    }

    private void take(int most) {
        Deque<M> taken = new ArrayDeque<>();
        queue.drainTo(taken, most);
        for (M message : taken) {
            task.on(message, clock.micros());
        }
    }

    private void receive(ByteBuffer buffer) throws IOException {
        for (int i = 0; socket != null && i < TURN; i++) {
            buffer.clear();
            try {
                if (socket.receive(buffer) == null) {
                    return;
                }
            } catch (java.net.PortUnreachableException refused) {
                continue; // what a peer's machine sends back of an earlier datagram
            }
            datagrams.accept(buffer.flip());
        }
    }

    private static void quietly(AutoCloseable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (Exception e) {
            LOG.log(Level.DEBUG, "closing failed", e);
        }
    }
}
