package clovermill.accord;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.accord.decide.Document;
import clovermill.accord.decide.Register.Taken;
import clovermill.accord.decide.Terms;
import clovermill.consensus.FileRaftStorage;
import clovermill.emulator.world.World;
import clovermill.store.FaultyVolume;
import clovermill.task.Task;
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

/** Three voters with real files on disks that fail for a while, in emulated time. */
class FailingVoterTest {

    private static final long SECOND_US = 1_000_000;
    private static final int VOTERS = 3;
    private static final Terms TERMS = new Terms(VOTERS, 5 * SECOND_US, SECOND_US, 0.01);

    @TempDir
    private Path folder;
    private final World<Mail> world = new World<>(VOTERS, TERMS.drift(), 1);
    private final List<FaultyVolume> volumes = new ArrayList<>();
    private final List<FileRaftStorage> files = new ArrayList<>();
    private final AccordTask[] tasks = new AccordTask[VOTERS];
    private final View[] views = new View[VOTERS];
    /** Raft's letters that a voter has sent while its file had failed. */
    private final Map<Integer, Integer> sentWhileFailed = new HashMap<>();

    @BeforeEach
    void begin() throws IOException {
        for (int i = 0; i < VOTERS; i++) {
            volumes.add(new FaultyVolume());
            files.add(null);
            start(i);
        }
    }

    @AfterEach
    void close() throws IOException {
        for (FileRaftStorage file : files) {
            file.close();
        }
    }

    private void start(int i) throws IOException {
        files.set(i, new FileRaftStorage(volumes.get(i), folder.resolve("v" + i), Accord.MAGIC,
                RegisterOperationCodec.messages()));
        views[i] = View.NONE;
        world.machine(i).start(clock -> {
            tasks[i] = new AccordTask(new AccordTask.Place(i, IntStream.range(0, VOTERS).boxed().toList(), TERMS),
                    new AccordTask.Meaning(text -> null, (old, next) -> true), (to, letter) -> send(i, to, letter),
                    files.get(i), new Random(i), view -> views[i] = view, clock);
            return repeating(tasks[i]);
        });
    }

    /** Each letter comes several times before the task's next tick, as a link may have it and a busy thread too. */
    private static Task<Mail> repeating(AccordTask task) {
        return new Task<>() {
            @Override
            public void on(Mail mail, long nowUs) {
                task.on(mail, nowUs);
                if (mail instanceof Mail.Arrived) {
                    task.on(mail, nowUs);
                    task.on(mail, nowUs);
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

    private void send(int from, int to, Letter letter) {
        if (letter instanceof Letter.Raft && files.get(from).failed()) {
            sentWhileFailed.merge(from, 1, Integer::sum);
        }
        world.send(from, to, new Mail.Arrived(letter));
    }

    private void pass(long seconds) {
        world.run(world.nowUs() + seconds * SECOND_US);
    }

    private int leader() {
        return IntStream.range(0, VOTERS).filter(i -> tasks[i].leads()).findFirst().orElse(-1);
    }

    /** Hands a policy in; returns what became of it, as far as it is known within some seconds. */
    private Taken want(int at, Document policy, long withinSeconds) {
        Taken[] taken = {null};
        world.machine(at).hand(new Mail.Wanted(views[at].step().version(), policy, (what, version) -> taken[0] = what));
        pass(withinSeconds);
        return taken[0];
    }

    private void fail(int which, boolean full, boolean fails) {
        volumes.get(which).room = full && fails ? 10 : Long.MAX_VALUE;
        volumes.get(which).syncFails = !full && fails;
    }

    private void allHold(Document policy) {
        assertThat(views).allSatisfy(view -> {
            assertThat(view.holds(world.nowUs())).isTrue();
            assertThat(view.policy()).isEqualTo(policy);
            assertThat(view.step().both()).isFalse();
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aVoterWhoseDiskFailsForTenSecondsTakesNoPartAndComesBackByItself(boolean full) {
        pass(5);
        int failing = leader();
        assertThat(failing).isNotNegative();
        int other = (failing + 1) % VOTERS;
        fail(failing, full, true);
        Document policy = Document.of("{\"a\":1}");
        assertThat(want(other, policy, 10)).isEqualTo(Taken.BEGUN);
        assertThat(files.get(failing).failed()).isTrue();
        assertThat(tasks[failing].leads()).isFalse();
        assertThat(leader()).isNotNegative();
        fail(failing, full, false);
        pass(15);
        assertThat(files.get(failing).failed()).isFalse();
        assertThat(sentWhileFailed).isEmpty();
        allHold(policy);
    }

    /** With two of three disks gone nothing is agreed on; when they are back, what was agreed on before holds. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withoutAMajorityOfDisksNothingIsAcknowledgedAndNothingIsForgotten(boolean full) {
        pass(5);
        Document first = Document.of("{\"a\":1}");
        assertThat(want(0, first, 10)).isEqualTo(Taken.BEGUN);
        allHold(first);
        fail(0, full, true);
        fail(1, full, true);
        Document second = Document.of("{\"a\":2}");
        assertThat(want(2, second, 10)).isNull();
        assertThat(views).allMatch(view -> view.policy().equals(first));
        fail(0, full, false);
        fail(1, full, false);
        pass(20);
        assertThat(sentWhileFailed).isEmpty();
        allHold(second);
    }

    /** The vote that could not be written is not told by the answer to the same question when that comes again. */
    @Test
    void aVoteThatCouldNotBeWrittenIsNotGiven() {
        pass(5);
        int leader = leader();
        int failing = (leader + 1) % VOTERS;
        fail(failing, false, true);
        world.machine(leader).kill();
        pass(10);
        assertThat(files.get(failing).failed()).isTrue();
        assertThat(sentWhileFailed).isEmpty();
        fail(failing, false, false);
        pass(10);
        assertThat(tasks[failing].leads() || tasks[3 - leader - failing].leads()).isTrue();
    }

    /** Killed while its disk fails, a voter finds at its start what it had promised before. */
    @Test
    void aVoterThatIsKilledWhileItsDiskFailsIsAVoterAgain() throws IOException {
        pass(5);
        Document first = Document.of("{\"a\":1}");
        assertThat(want(0, first, 10)).isEqualTo(Taken.BEGUN);
        fail(1, true, true);
        Document second = Document.of("{\"a\":2}");
        assertThat(want(0, second, 10)).isEqualTo(Taken.BEGUN);
        assertThat(files.get(1).failed()).isTrue();
        world.machine(1).kill();
        files.get(1).close();
        fail(1, true, false);
        start(1);
        assertThat(files.get(1).restored()).isNotNull();
        pass(15);
        allHold(second);
    }
}
