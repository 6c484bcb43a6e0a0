package clovermill.routing.api;

/**
 * Sends a request with orders for a miss: where it is filled from, the rank at which the copy is kept (0
 * keeps none) and the greatest age that will do (0 for the class's fresh time). {@code join} lets it
 * share a fill under way, {@code heldOnly} takes from the source only what that holds, {@code
 * parentKeepsNone} leaves no copy at the parent and {@code renew} serves an ageing copy while it is
 * fetched anew.
 */
public record SendVia(String request, String member, long timeoutUs, String source, int rank, long maxAgeUs,
        boolean join,
        boolean heldOnly, boolean parentKeepsNone, boolean renew) implements Action {}
