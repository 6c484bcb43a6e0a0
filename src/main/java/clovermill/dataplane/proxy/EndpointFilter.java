package clovermill.dataplane.proxy;

import java.util.function.Predicate;

/**
 * A restriction of the members that may serve a request, in addition to the routing decisions; placement rules are an
 * example. Called on the event loop's thread; must not block.
 */
@FunctionalInterface
public interface EndpointFilter {

    /**
     * Returns the ids of members that the request's attempts and their fills may use, or null if all may be used. The
     * predicate is evaluated when a member is chosen and again when the attempt is written, since the rules may have
     * changed in between.
     */
    Predicate<String> allowedMembers(ClientRequest request);
}
