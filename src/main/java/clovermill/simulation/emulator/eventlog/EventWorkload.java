package clovermill.simulation.emulator.eventlog;

import clovermill.controlplane.eventlog.EventLogTaskMessage;
import clovermill.controlplane.eventlog.decide.Event;
import clovermill.controlplane.eventlog.decide.EventLog.AppendOutcome;
import clovermill.controlplane.eventlog.decide.Subject.Kind;
import clovermill.controlplane.eventlog.decide.Subject;
import clovermill.simulation.emulator.world.World;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Appends purges of random objects at directors; reports acknowledgements to the {@link InvariantChecker}. */
final class EventWorkload {

    private final World<EventLogTaskMessage> world;
    private final InvariantChecker checker;
    private final Random random;
    private final int subjects;
    private int eventCount;

    /** Creates a workload on {@code subjects} distinct objects, drawn from {@code random}. */
    EventWorkload(World<EventLogTaskMessage> world, InvariantChecker checker, Random random, int subjects) {
        this.world = world;
        this.checker = checker;
        this.random = random;
        this.subjects = subjects;
    }

    /** Appends events as one call at the director on a machine; does nothing if the machine is down. */
    void append(int machine, int count) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            eventCount++; // the detail makes each event different
            events.add(new Event(new Subject(Kind.OBJECT_PURGE, random.nextInt(subjects)), world.nowUs() / 1000,
                    Integer.toString(eventCount)));
        }
        if (world.machine(machine).alive()) {
            world.machine(machine).deliver(new EventLogTaskMessage.AppendRequested(events, answer -> {
                if (answer != null && answer.outcome() == AppendOutcome.APPENDED) {
                    checker.acknowledged(events, answer.last(), world.nowUs());
                }
            }));
        }
    }
}
