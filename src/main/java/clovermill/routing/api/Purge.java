package clovermill.routing.api;

/** An object, or with a null {@code object} an entire group, was purged {@code ageUs} ago. */
public record Purge(Long object, int group, long ageUs) implements Event {}
