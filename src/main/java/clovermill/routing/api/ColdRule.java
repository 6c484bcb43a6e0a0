package clovermill.routing.api;

/**
 * The figures by which a member that has just started is judged: it gives {@code from} of its capacity at
 * first, all of it after {@code warmUs}, and falls over at {@code multiple} times the present part over
 * {@code windowUs}.
 */
public record ColdRule(double from, long warmUs, double multiple, long windowUs) {}
