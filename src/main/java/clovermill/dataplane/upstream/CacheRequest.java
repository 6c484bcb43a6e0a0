package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.ClientRequest;
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
record CacheRequest(String member, String id, ClientRequest ask, String source, long dueUs,
        LongFunction<List<ByteBuffer>> encoder, AttemptListener ending) {

    /** Whether a miss of it is to be filled from one of these members. */
    boolean isFilledFrom(Set<String> members) {
        return source != null && members.contains(source);
    }

    /** Whether it asks for one of these. */
    boolean isFor(Predicate<ClientRequest> which) {
        return ask != null && which.test(ask);
    }
}
