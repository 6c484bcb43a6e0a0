package clovermill.routing.api;

/** One class of requests; {@code goesThrough} marks those that run at the origin and leave no copy. */
public record RequestClass(long aimUs, double aimStretch, long deadlineUs, double worth, double lateWorth,
        Effect effect,
        KeyScope keyScope, long windowUs, boolean streamed, boolean goesThrough, boolean inParts,
        long freshUs,
        long usableAfterUs, double staleWorth) {}
