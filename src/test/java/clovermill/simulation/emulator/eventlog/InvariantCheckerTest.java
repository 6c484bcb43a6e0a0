package clovermill.simulation.emulator.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.eventlog.decide.Delivery;
import clovermill.controlplane.eventlog.decide.Entry;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.Subject;
import clovermill.controlplane.eventlog.decide.TruncatedPrefix;
import java.util.List;
import org.junit.jupiter.api.Test;

class InvariantCheckerTest {

    private static final Subject SUBJECT = new Subject(Subject.Kind.OBJECT_PURGE, 7);
    private static final Event NEWER = new Event(SUBJECT, 200, "first appended");
    private static final Event OLDER = new Event(SUBJECT, 100, "appended later");

    private final InvariantChecker checker = new InvariantChecker(1, 5_000_000, 7_100_000, 0);

    private void acknowledged() {
        checker.acknowledged(List.of(NEWER), 1, 0);
        checker.acknowledged(List.of(OLDER), 9, 0);
    }

    private void delivered(long sequence, Event event) {
        checker.delivered(0, new Delivery.Applied(new Entry(sequence, event)), 0);
    }

    /** The log had dropped the first event when the second was appended, so it did not raise the time of the second. */
    @Test
    void countsNoLossIfDirectorAppliedBothEvents() {
        acknowledged();
        delivered(1, NEWER);
        delivered(9, OLDER);
        checker.checkAllDelivered(0);
        assertThat(checker.lost()).isZero();
    }

    @Test
    void countsLossIfDirectorNeverAppliedNewerEvent() {
        acknowledged();
        delivered(9, OLDER);
        checker.checkAllDelivered(0);
        assertThat(checker.lost()).isEqualTo(1);
    }

    @Test
    void countsNoLossIfTruncatedPrefixCoversEvent() {
        acknowledged();
        checker.delivered(0, new Delivery.Truncated(new TruncatedPrefix(1, 200)), 0);
        delivered(9, OLDER);
        checker.checkAllDelivered(0);
        assertThat(checker.lost()).isZero();
    }
}
