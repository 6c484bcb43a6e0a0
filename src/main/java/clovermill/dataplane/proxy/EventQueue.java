package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Event;
import clovermill.runtime.net.Clock;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;

/**
 * Delivers events to the router one after another: an event that is caused by an action of the router is delivered
 * after the present event, not inside it.
 */
final class EventQueue {

    private static final System.Logger LOG = System.getLogger(EventQueue.class.getName());

    private final CacheRouter router;
    private final Clock clock;
    private final ActionExecutor executor;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean delivering;

    EventQueue(CacheRouter router, Clock clock, ActionExecutor executor) {
        this.router = router;
        this.clock = clock;
        this.executor = executor;
    }

    /** Delivers an event now, or after the event that is being delivered. */
    void deliver(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliverOne(next);
            }
        } finally {
            delivering = false;
        }
    }

    /** A fault of the router must not end the process; the deadline of each request still answers it. */
    private void deliverOne(Event event) {
        try {
            router.handle(clock.micros(), event, executor::execute);
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the router failed on event " + event.getClass().getSimpleName(), fault);
        }
    }
}
