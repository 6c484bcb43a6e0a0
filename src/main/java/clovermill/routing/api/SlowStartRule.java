package clovermill.routing.api;

/**
 * The slow start of a member.
 *
 * @param initialShare the share of its capacity that it has when it starts; the share grows to 1
 * @param durationUs the time from its start until it has its full capacity
 * @param overloadMultiple the load, as a multiple of its current capacity, at which it fails
 * @param overloadWindowUs the window over which that load is measured
 */
public record SlowStartRule(double initialShare, long durationUs, double overloadMultiple, long overloadWindowUs) {}
