package clovermill.controlplane.policystore;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.consensus.FileRaftStorage;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.runtime.task.Task;
import clovermill.simulation.emulator.world.World;
import clovermill.storage.FaultyVolume;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests three voters with real files on disks that fail temporarily, in emulated time. */
class FailingVoterTest {

    private static final long SECOND_US = 1_000_000;
    private static final int VOTERS = 3;
    private static final LeaseTiming TIMING = new LeaseTiming(VOTERS, 5 * SECOND_US, SECOND_US, 0.01);

    @TempDir
    private Path folder;
    private final World<PolicyTaskMessage> world = new World<>(VOTERS, TIMING.drift(), 1);
    private final List<FaultyVolume> volumes = new ArrayList<>();
    private final List<FileRaftStorage> files = new ArrayList<>();
    private final PolicyStoreTask[] tasks = new PolicyStoreTask[VOTERS];
    private final PolicyView[] views = new PolicyView[VOTERS];
    /** The number of Raft messages that each voter sent while its file had failed. */
    private final Map<Integer, Integer> sentWhileFailed = new HashMap<>();

    @BeforeEach
    void startVoters() throws IOException {
        for (int i = 0; i < VOTERS; i++) {
            volumes.add(new FaultyVolume());
            files.add(null);
            start(i);
        }
    }

    @AfterEach
    void closeFiles() throws IOException {
        for (FileRaftStorage file : files) {
            file.close();
        }
    }

    private void start(int i) throws IOException {
        files.set(i, new FileRaftStorage(volumes.get(i), folder.resolve("v" + i), PolicyStore.MAGIC,
                PolicyOperationCodec.messages()));
        views[i] = PolicyView.NONE;
        world.machine(i).start(clock -> {
            tasks[i] = new PolicyStoreTask(
                    new PolicyStoreTask.Membership(i, IntStream.range(0, VOTERS).boxed().toList(), TIMING),
                    new PolicyRules(text -> null, (old, next) -> true), (to, message) -> send(i, to, message),
                    files.get(i), new Random(i), view -> views[i] = view, clock);
            return withDuplicates(tasks[i]);
        });
    }

    /** Delivers each message three times before the task's next tick, as duplicating links or a busy thread may do. */
    private static Task<PolicyTaskMessage> withDuplicates(PolicyStoreTask task) {
        return new Task<>() {
            @Override
            public void on(PolicyTaskMessage event, long nowUs) {
                task.on(event, nowUs);
                if (event instanceof PolicyTaskMessage.MessageReceived) {
                    task.on(event, nowUs);
                    task.on(event, nowUs);
                }
            }

            @Override
            public long tick(long nowUs) {
                return task.tick(nowUs);
            }

            @Override
            public void stop(long nowUs) {
                task.stop(nowUs);
            }
        };
    }

    private void send(int from, int to, PolicyMessage message) {
        if (message instanceof PolicyMessage.RaftEnvelope && files.get(from).failed()) {
            sentWhileFailed.merge(from, 1, Integer::sum);
        }
        world.send(from, to, new PolicyTaskMessage.MessageReceived(message));
    }

    private void runFor(long seconds) {
        world.run(world.nowUs() + seconds * SECOND_US);
    }

    private int leader() {
        return IntStream.range(0, VOTERS).filter(i -> tasks[i].isLeader()).findFirst().orElse(-1);
    }

    /** Requests a change; returns its result, or null if there is none within the given time. */
    private ProposalResult requestChange(int director, PolicyDocument policy, long withinSeconds) {
        ProposalResult[] received = {null};
        world.machine(director).deliver(
                new PolicyTaskMessage.ChangeRequested(views[director].step().version(), policy,
                        (result, version) -> received[0] = result));
        runFor(withinSeconds);
        return received[0];
    }

    private void setFailing(int voter, boolean full, boolean fails) {
        volumes.get(voter).freeBytes = full && fails ? 10 : Long.MAX_VALUE;
        volumes.get(voter).failSyncs = !full && fails;
    }

    private void assertInForceEverywhere(PolicyDocument policy) {
        assertThat(views).allSatisfy(view -> {
            assertThat(view.isValid(world.nowUs())).isTrue();
            assertThat(view.policy()).isEqualTo(policy);
            assertThat(view.step().inTransition()).isFalse();
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void voterIsSuspendedWhileItsDiskFailsAndRecoversAfterwards(boolean full) {
        runFor(5);
        int failing = leader();
        assertThat(failing).isNotNegative();
        int other = (failing + 1) % VOTERS;
        setFailing(failing, full, true);
        PolicyDocument policy = PolicyDocument.of("{\"a\":1}");
        assertThat(requestChange(other, policy, 10)).isEqualTo(ProposalResult.BEGUN);
        assertThat(files.get(failing).failed()).isTrue();
        assertThat(tasks[failing].isLeader()).isFalse();
        assertThat(leader()).isNotNegative();
        setFailing(failing, full, false);
        runFor(15);
        assertThat(files.get(failing).failed()).isFalse();
        assertThat(sentWhileFailed).isEmpty();
        assertInForceEverywhere(policy);
    }

    /** While two of three disks fail nothing can be committed; after their recovery no committed change is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nothingIsAcknowledgedOrLostWhileAMajorityOfDisksFails(boolean full) {
        runFor(5);
        PolicyDocument first = PolicyDocument.of("{\"a\":1}");
        assertThat(requestChange(0, first, 10)).isEqualTo(ProposalResult.BEGUN);
        assertInForceEverywhere(first);
        setFailing(0, full, true);
        setFailing(1, full, true);
        PolicyDocument second = PolicyDocument.of("{\"a\":2}");
        assertThat(requestChange(2, second, 10)).isNull();
        assertThat(views).allMatch(view -> view.policy().equals(first));
        setFailing(0, full, false);
        setFailing(1, full, false);
        runFor(20);
        assertThat(sentWhileFailed).isEmpty();
        assertInForceEverywhere(second);
    }

    /** A duplicate vote request must not reveal a vote that could not be written. */
    @Test
    void voteThatCannotBeWrittenIsNotSent() {
        runFor(5);
        int leader = leader();
        int failing = (leader + 1) % VOTERS;
        setFailing(failing, false, true);
        world.machine(leader).kill();
        runFor(10);
        assertThat(files.get(failing).failed()).isTrue();
        assertThat(sentWhileFailed).isEmpty();
        setFailing(failing, false, false);
        runFor(10);
        assertThat(tasks[failing].isLeader() || tasks[3 - leader - failing].isLeader()).isTrue();
    }

    /** A voter that is killed while its disk fails restores the state that it wrote before the failure. */
    @Test
    void voterKilledWhileItsDiskFailsRestoresItsState() throws IOException {
        runFor(5);
        PolicyDocument first = PolicyDocument.of("{\"a\":1}");
        assertThat(requestChange(0, first, 10)).isEqualTo(ProposalResult.BEGUN);
        setFailing(1, true, true);
        PolicyDocument second = PolicyDocument.of("{\"a\":2}");
        assertThat(requestChange(0, second, 10)).isEqualTo(ProposalResult.BEGUN);
        assertThat(files.get(1).failed()).isTrue();
        world.machine(1).kill();
        files.get(1).close();
        setFailing(1, true, false);
        start(1);
        assertThat(files.get(1).restored()).isNotNull();
        runFor(15);
        assertInForceEverywhere(second);
    }
}
