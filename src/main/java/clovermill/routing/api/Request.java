package clovermill.routing.api;

import java.util.function.Predicate;

/**
 * A client's request for one part of an object.
 *
 * @param timeoutUs the time after which the client gives up
 * @param repeat whether the client sent this request before
 * @param memberFilter accepts the members that may be the target or the fill source of this request
 */
public record Request(String id, int requestClass, int tenant, long object, int part, int group, double sizeKb,
        long timeoutUs, boolean repeat, Predicate<String> memberFilter) implements Event {

    /** Creates a request that every member may serve. */
    public Request(String id, int requestClass, int tenant, long object, int part, int group, double sizeKb,
            long timeoutUs, boolean repeat) {
        this(id, requestClass, tenant, object, part, group, sizeKb, timeoutUs, repeat, member -> true);
    }
}
