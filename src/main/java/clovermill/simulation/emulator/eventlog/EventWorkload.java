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

/** Appends purges of random objects at directors; the {@link InvariantChecker} sees what is acknowledged. */
final class EventWorkload {

    private final World<EventLogTaskMessage> world;
    private final InvariantChecker checker;
    private final Random random;
    private final int subjects;
    private int eventsMade;

    /** Events about so many different objects, drawn from {@code random}. */
    EventWorkload(World<EventLogTaskMessage> world, InvariantChecker checker, Random random, int subjects) {
        this.world = world;
        this.checker = checker;
        this.random = random;
        this.subjects = subjects;
    }

    /** Has the director on a machine append events as one call; lost where the machine is down. */
    void append(int machine, int count) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            eventsMade++; // the detail makes each event different
            events.add(new Event(new Subject(Kind.OBJECT_PURGE, random.nextInt(subjects)), world.nowUs() / 1000,
                    Integer.toString(eventsMade)));
        }
        if (world.machine(machine).alive()) {
            world.machine(machine).hand(new EventLogTaskMessage.AppendRequested(events, answer -> {
                if (answer != null && answer.outcome() == AppendOutcome.APPENDED) {
                    checker.acknowledged(events, answer.last(), world.nowUs());
                }
            }));
        }
    }
}
