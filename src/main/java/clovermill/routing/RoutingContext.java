package clovermill.routing;

import clovermill.routing.api.Action;
import clovermill.routing.api.Settings;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * What holds for the event in hand: its time, the settings in force and where actions go; and the one source of
 * randomness. {@link RequestRouter} alone writes it.
 */
final class RoutingContext {

    /** A time before any other, in microseconds. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final SplittableRandom random;
    Settings settings;
    /** The time of the event, in microseconds. */
    long nowUs;
    /** The time of the first event, in microseconds; NEVER before it. */
    long startedUs = NEVER;
    private Consumer<Action> actions;

    RoutingContext(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** An event has come in. */
    void begin(long eventUs, Consumer<Action> out) {
        nowUs = eventUs;
        actions = out;
    }

    /** Hands an action to the host. */
    void emit(Action action) {
        actions.accept(action);
    }
}
