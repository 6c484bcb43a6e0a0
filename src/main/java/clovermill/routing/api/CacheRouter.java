package clovermill.routing.api;

import java.util.function.Consumer;

/**
 * The decisions of one director in front of a two-tier cache.
 *
 * <p>The host reports {@link Event}s in the order in which they happen and carries out the {@link Action}s
 * that come back, in order. All times are microseconds on the host's clock, which has no particular zero and
 * never runs backwards. A router starts no threads and reads no clock; one instance serves one director.
 */
public interface CacheRouter {

    /** Takes one event that happened at {@code nowUs} and hands every action it calls for to {@code out}. */
    void handle(long nowUs, Event event, Consumer<Action> out);
}
