package clovermill.controlplane.policystore;

import clovermill.controlplane.consensus.FileRaftStorage;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
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
 * One director's part in the policy store in service: a {@link PolicyStoreTask} on a thread of its own, with a UDP
 * socket and, at a voter, a durable file. Views of the policy in force are published on the director's event loop.
 */
public final class PolicyStore implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger(PolicyStore.class.getName());
    /** Magic and format version at the head of a voter's file. */
    static final String MAGIC = "CVACCOR1";
    private static final String THREAD_NAME = "policy-store";
    private static final int MAILBOX_CAPACITY = 1024;
    private static final long STOP_TIMEOUT_MS = 500;

    private final DatagramChannel socket;
    private final FileRaftStorage storage;
    private final PolicyMessageCodec codec;
    private final List<InetSocketAddress> addresses;
    private final int self;
    private final Clock clock;
    private final PolicyStoreTask task;
    private final TaskThread<PolicyTaskMessage> thread;

    /**
     * Opens the socket and a voter's file; takes part from {@link #start} on.
     *
     * @param listener is called on {@code loop} with each change of the policy in force here
     * @throws IllegalArgumentException naming the setting that cannot be used
     * @throws IOException if the address or a voter's file cannot be used
     */
    public PolicyStore(PolicyStoreSettings settings, PolicyRules rules, Clock clock, Executor loop,
            Consumer<PolicyView> listener) throws IOException {
        settings.check();
        this.self = settings.self();
        this.clock = clock;
        this.addresses = settings.addresses();
        this.codec = new PolicyMessageCodec(self, settings.key());
        this.storage = settings.isVoter() ? new FileRaftStorage(Volume.local(), Path.of(settings.folder()), MAGIC,
                PolicyOperationCodec.messages()) : null;
        this.socket = DatagramChannel.open().bind(addresses.get(self));
        this.task = new PolicyStoreTask(
                new PolicyStoreTask.Membership(self, settings.voters(), settings.timing()), rules, this::send, storage,
                new SecureRandom(), view -> loop.execute(() -> listener.accept(view)), clock.micros());
        this.thread = new TaskThread<>(THREAD_NAME, clock, task, MAILBOX_CAPACITY, socket, this::receive, fault -> {});
    }

    /** Takes part from now on. */
    public void start() {
        thread.start();
    }

    /**
     * Requests a change on behalf of this director's operators.
     *
     * @param baseVersion the version that the new policy replaces; for an abort, the version being introduced
     * @param policy the new policy, or null to abort the transition under way
     * @param onResult is called once with the result and the version, on the store's thread or, with a null result for
     *        a full mailbox, on the caller's
     */
    public void requestChange(long baseVersion, PolicyDocument policy, BiConsumer<ProposalResult, Long> onResult) {
        if (!thread.offer(new PolicyTaskMessage.ChangeRequested(baseVersion, policy, onResult))) {
            onResult.accept(null, 0L);
        }
    }

    private void send(int to, PolicyMessage message) {
        if (to == self) {
            thread.offer(new PolicyTaskMessage.MessageReceived(message)); // lost if the mailbox is full, as on a link
            return;
        }
        try {
            socket.send(codec.write(to, message), addresses.get(to));
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "policy store: cannot send to director {0}: {1}", to, failure.toString());
        }
    }

    private void receive(ByteBuffer datagram) {
        try {
            task.on(new PolicyTaskMessage.MessageReceived(codec.read(datagram)), clock.micros());
        } catch (MalformedMessageException malformed) {
            LOG.log(Level.DEBUG, "policy store: datagram discarded: {0}", malformed.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            thread.stop(STOP_TIMEOUT_MS);
            if (storage != null) {
                storage.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
