package clovermill.routing.api;

import java.util.function.Consumer;

/**
 * The routing decisions of one director in front of a two-tier cache.
 *
 * <p>The host reports {@link Event}s in the order in which they occur and executes the returned {@link Action}s
 * in order. All times are microseconds on the host's monotonic clock, whose origin is arbitrary. A router starts no
 * threads and reads no clock; one instance serves one director.
 */
public interface CacheRouter {

    /** Handles one event that occurred at {@code nowUs} and passes every resulting action to {@code actions}. */
    void handle(long nowUs, Event event, Consumer<Action> actions);
}
