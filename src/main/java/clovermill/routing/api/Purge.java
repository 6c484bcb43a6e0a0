package clovermill.routing.api;

/** Purges an object, or an entire group if {@code object} is null; it was issued {@code ageUs} ago. */
public record Purge(Long object, int group, long ageUs) implements Event {}
