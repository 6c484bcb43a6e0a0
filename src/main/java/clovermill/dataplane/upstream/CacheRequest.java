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
 * @param deadlineUs end of its time, in microseconds of the monotonic clock
 * @param encoder encodes the request for a number of microseconds left
 * @param listener follows the exchange
 */
record CacheRequest(String member, String id, ClientRequest clientRequest, String source, long deadlineUs,
        LongFunction<List<ByteBuffer>> encoder, AttemptListener listener) {

    /** Whether a miss would be filled from one of {@code members}. */
    boolean isFilledFrom(Set<String> members) {
        return source != null && members.contains(source);
    }

    /** Whether it is an attempt of a matching client request. */
    boolean isFor(Predicate<ClientRequest> matches) {
        return clientRequest != null && matches.test(clientRequest);
    }
}
