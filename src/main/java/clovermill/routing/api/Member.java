package clovermill.routing.api;

/**
 * An entry of the member list: a cache, a parent or the origin; {@code startedUs} is 0 if it started long ago.
 */
public record Member(String id, int zone, int kind, int cell, Availability availability, double weight,
        long startedUs) {}
