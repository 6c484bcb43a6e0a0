package clovermill.dataplane.upstream;

import clovermill.dataplane.proxy.AttemptListener;
import clovermill.dataplane.proxy.ClientRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Predicate;

/**
 * A request to a member, before it is assigned to a connection.
 *
 * @param member id of the member
 * @param id id of the request in the lines protocol
 * @param clientRequest the client's request, null for a probe
 * @param source id of the member from which a miss is filled, null if it is not filled
 * @param deadlineUs its deadline, in microseconds of the monotonic clock
 * @param encoder encodes the request, given the remaining time in microseconds
 * @param listener gets the result of the exchange
 */
record CacheRequest(String member, String id, ClientRequest clientRequest, String source, long deadlineUs,
        LongFunction<List<ByteBuffer>> encoder, AttemptListener listener) {

    /** Returns whether a miss would be filled from one of {@code members}. */
    boolean isFilledFrom(Set<String> members) {
        return source != null && members.contains(source);
    }

    /** Returns whether this is an attempt of a matching client request. */
    boolean matches(Predicate<ClientRequest> condition) {
        return clientRequest != null && condition.test(clientRequest);
    }
}
