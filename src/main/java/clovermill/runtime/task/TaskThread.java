package clovermill.runtime.task;

import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.PortUnreachableException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.function.Consumer;

/**
 * Runs one task on a thread of its own, with a bounded mailbox and optionally a datagram socket, which it owns and
 * closes. A failure of the task stops the thread; it is logged and reported to the task's owner on this thread.
 */
public final class TaskThread<M> implements Mailbox<M> {

    private static final System.Logger LOG = System.getLogger(TaskThread.class.getName());
    private static final int MAX_DATAGRAM_BYTES = 1 << 16;
    /** Limit of the datagrams, and of the messages, of one turn: a flood of either must not delay the ticks. */
    private static final int MAX_PER_TURN = 64;
    private static final long MICROS_PER_MILLI = 1000;

    private final String name;
    private final Clock clock;
    private final Task<M> task;
    private final ArrayBlockingQueue<M> queue;
    private final Selector selector;
    private final DatagramChannel socket;
    private final Consumer<ByteBuffer> datagramHandler;
    private final Consumer<Throwable> failureHandler;
    private final Thread thread;
    private volatile boolean ending;

    /**
     * Creates a thread that is not started yet.
     *
     * @param name name of the thread, and of the task in the log
     * @param clock supplies the time that is passed to the task
     * @param task the task
     * @param mailboxCapacity the maximum number of queued messages
     * @param socket datagram socket of the task, null if it has none
     * @param datagramHandler handles received datagrams on the task's thread
     * @param failureHandler called on the task's thread if the task throws
     */
    public TaskThread(String name, Clock clock, Task<M> task, int mailboxCapacity, DatagramChannel socket,
            Consumer<ByteBuffer> datagramHandler, Consumer<Throwable> failureHandler) throws IOException {
        this.name = name;
        this.clock = clock;
        this.task = task;
        this.queue = new ArrayBlockingQueue<>(mailboxCapacity);
        this.selector = Selector.open();
        this.socket = socket;
        this.datagramHandler = datagramHandler;
        this.failureHandler = failureHandler;
        if (socket != null) {
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_READ);
        }
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    @Override
    public boolean offer(M message) {
        boolean accepted = !ending && queue.offer(message);
        if (accepted && Thread.currentThread() != thread) {
            selector.wakeup();
        }
        return accepted;
    }

    /** Stops the task after the messages in its mailbox; returns when it has stopped, or after {@code maxWaitMs}. */
    public void stop(long maxWaitMs) throws InterruptedException {
        ending = true;
        selector.wakeup();
        thread.join(maxWaitMs);
    }

    private void run() {
        try {
            ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
            while (!ending) {
                long nextTickUs = task.tick(clock.micros());
                long waitMs = (nextTickUs - clock.micros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
                if (!queue.isEmpty() || waitMs <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(waitMs);
                }
                selector.selectedKeys().clear();
                receiveDatagrams(buffer);
                handleMessages(MAX_PER_TURN);
            }
            handleMessages(Integer.MAX_VALUE);
            task.stop(clock.micros());
        } catch (IOException | RuntimeException | StackOverflowError fault) {
            LOG.log(Level.ERROR, name + " has ended after a fault", fault);
            ending = true;
            failureHandler.accept(fault);
        } finally {
            closeQuietly(socket);
            closeQuietly(selector);
        }
    }

    private void handleMessages(int maxMessages) {
        Deque<M> messages = new ArrayDeque<>();
        queue.drainTo(messages, maxMessages);
        for (M message : messages) {
            task.on(message, clock.micros());
        }
    }

    private void receiveDatagrams(ByteBuffer buffer) throws IOException {
        for (int i = 0; socket != null && i < MAX_PER_TURN; i++) {
            buffer.clear();
            try {
                if (socket.receive(buffer) == null) {
                    return;
                }
            } catch (PortUnreachableException icmpError) {
                continue; // reports an earlier datagram; further ones may have arrived
            }
            datagramHandler.accept(buffer.flip());
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (Exception failure) {
            LOG.log(Level.DEBUG, "closing failed", failure);
        }
    }
}
