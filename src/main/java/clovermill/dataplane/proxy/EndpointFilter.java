package clovermill.dataplane.proxy;

import java.util.function.Predicate;

/**
 * Limits the members that may serve a request, in addition to the routing decisions; rules about where data may lie are
 * one. Called on the loop's thread; must not block.
 */
@FunctionalInterface
public interface EndpointFilter {

    /**
     * The ids of members that the request's attempts and their fills may use, or null where all may be used. The
     * predicate is evaluated when a member is chosen and again when the attempt is written, since the rules may have
     * changed in between.
     */
    Predicate<String> allowedMembers(ClientRequest request);
}
