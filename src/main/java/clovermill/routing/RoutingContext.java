package clovermill.routing;

import clovermill.routing.api.Action;
import clovermill.routing.api.Settings;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The context of the current event: its time, the effective settings, the consumer of actions and the random number
 * generator. Only {@link RequestRouter} modifies it.
 */
final class RoutingContext {

    /** Earlier than any other time, in microseconds. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final SplittableRandom random;
    Settings settings;
    /** The time of the current event, in microseconds. */
    long nowUs;
    /** The time of the first event, in microseconds; NEVER before it. */
    long startedUs = NEVER;
    private Consumer<Action> actions;

    RoutingContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** Begins the handling of an event. */
    void begin(long eventUs, Consumer<Action> consumer) {
        nowUs = eventUs;
        actions = consumer;
    }

    /** Passes an action to the host. */
    void emit(Action action) {
        actions.accept(action);
    }
}
