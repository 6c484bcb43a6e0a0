package clovermill.routing.api;

/** The availability of a member for new requests. */
public enum Availability { HEALTHY, DRAINING, REMOVED }
