package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.FileRaftStorage;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.runtime.net.Clock;
import clovermill.runtime.task.TaskThread;
import clovermill.storage.Volume;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * This director's part in the one policy as it runs in service: a thread of its own with a UDP socket and, for a voter,
 * a file. What holds is told on the director's loop.
 */
public final class PolicyStore implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger(PolicyStore.class.getName());
    /** The head of a voter's file. */
    static final String MAGIC = "CVACCOR1";
    private static final int ROOM = 1024;
    private static final long STOP_MS = 500;

    private final DatagramChannel socket;
    private final FileRaftStorage disk;
    private final PolicyMessageCodec codec;
    private final List<InetSocketAddress> addresses;
    private final int self;
    private final Clock clock;
    private final PolicyStoreTask task;
    private final TaskThread<PolicyTaskMessage> thread;

    /**
     * Begins once {@link #start} is called. {@code views} is told on {@code loop} of what holds from then on.
     *
     * @throws IllegalArgumentException naming the setting that cannot be used
     */
    public PolicyStore(PolicyStoreSettings settings, PolicyStoreTask.Meaning meaning, Clock clock, Executor loop,
            Consumer<PolicyView> views)
            throws IOException {
        settings.check();
        this.self = settings.self();
        this.clock = clock;
        this.addresses = settings.addresses();
        this.codec = new PolicyMessageCodec(self, settings.key());
        this.disk = settings.votes() ? new FileRaftStorage(Volume.local(), Path.of(settings.folder()),
                MAGIC, PolicyOperationCodec.messages()) : null;
        this.socket = DatagramChannel.open().bind(addresses.get(self));
        this.task = new PolicyStoreTask(new PolicyStoreTask.Place(self, settings.voters(), settings.terms()), meaning,
                this::send,
                disk, new SecureRandom(), view -> loop.execute(() -> views.accept(view)), clock.micros());
        this.thread = new TaskThread<>("accord", clock, task, ROOM, socket, this::received, fault -> {});
    }

    /** Takes part from now on. */
    public void start() {
        thread.start();
    }

    /**
     * Hands in what operators want: a policy in place of version {@code follows}, or, with null, that a change is taken
     * back. {@code done} hears on the accord's thread; null stands for no room.
     */
    public void want(long follows, PolicyDocument policy, BiConsumer<Taken, Long> done) {
        if (!thread.offer(new PolicyTaskMessage.Wanted(follows, policy, done))) {
            done.accept(null, 0L);
        }
    }

    private void send(int to, PolicyMessage letter) {
        if (to == self) {
            thread.offer(new PolicyTaskMessage.Arrived(letter)); // at a full mailbox it is lost, as on any link
            return;
        }
        try {
            socket.send(codec.write(to, letter), addresses.get(to));
        } catch (IOException unreachable) {
            LOG.log(Level.DEBUG, "a letter to director {0} is lost", to);
        }
    }

    private void received(ByteBuffer datagram) {
        try {
            task.on(new PolicyTaskMessage.Arrived(codec.read(datagram)), clock.micros());
        } catch (PolicyMessageCodec.BadLetter bad) {
            LOG.log(Level.DEBUG, "a datagram was ignored: {0}", bad.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            thread.stop(STOP_MS);
            if (disk != null) {
                disk.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
