package clovermill.dataplane.proxy;

import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Event;
import clovermill.runtime.net.Clock;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;

/**
 * A queue that delivers events to the router one at a time: an event caused by one of the router's actions is delivered
 * after the current event, not during it.
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

    /** Delivers an event, after the one being delivered if there is one. */
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

    /**
     * Delivers one event. Logs an exception of the router, which must not end the process; each open request is still
     * answered by its deadline.
     */
    private void deliverOne(Event event) {
        try {
            router.handle(clock.micros(), event, executor::execute);
        } catch (RuntimeException fault) {
            LOG.log(Level.ERROR, "the router failed on event " + event.getClass().getSimpleName(), fault);
        }
    }
}
