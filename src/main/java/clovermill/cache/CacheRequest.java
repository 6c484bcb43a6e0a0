package clovermill.cache;

import clovermill.host.Ask;
import clovermill.host.Upstream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Predicate;

/**
 * A request for a member, before it is on a connection. {@code ask} is null for a probe, {@code source} null where a
 * miss is
 * not to be filled; {@code dueUs} is when its time is over, in microseconds of the clock, and {@code encoder} gives its
 * bytes for the microseconds that are left.
 */
record CacheRequest(String member, String id, Ask ask, String source, long dueUs,
        LongFunction<List<ByteBuffer>> encoder, Upstream.Ending ending) {

    /** Whether a miss of it is to be filled from one of these members. */
    boolean isFilledFrom(Set<String> members) {
        return source != null && members.contains(source);
    }

    /** Whether it asks for one of these. */
    boolean isFor(Predicate<Ask> which) {
        return ask != null && which.test(ask);
    }
}
