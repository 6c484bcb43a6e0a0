package clovermill.dataplane.proxy;

import java.util.function.Predicate;

/** What binds where a request's attempts may go, beside the module's own rules. Called on the loop's thread. */
@FunctionalInterface
public interface Bounds {

    /**
     * The members that a request's attempts and their fills may meet, or null where nothing binds it. It is asked when
     * a member is chosen, and again when the attempt is written, as what was allowed may not be any more.
     */
    Predicate<String> bind(ClientRequest ask);
}
