package clovermill.routing.api;

import java.util.function.Predicate;

/**
 * A client's request for one part of an object; {@code graceUs} is the time until the client gives up, {@code
 * allowed} tells of any member whether the request may meet it now, as target or as source.
 */
public record Request(String id, int requestClass, int tenant, long object, int part, int group, double sizeKb,
        long graceUs, boolean repeat, Predicate<String> allowed) implements Event {

    /** A request that may meet every member. */
    public Request(String id, int requestClass, int tenant, long object, int part, int group, double sizeKb,
            long graceUs, boolean repeat) {
        this(id, requestClass, tenant, object, part, group, sizeKb, graceUs, repeat, member -> true);
    }
}
