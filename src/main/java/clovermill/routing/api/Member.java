package clovermill.routing.api;

/**
 * An entry of the list of members: a cache, a parent or the origin; {@code startedUs} is 0 if long ago.
 */
public record Member(String id, int zone, int kind, int cell, Availability availability, double weight,
        long startedUs) {}
