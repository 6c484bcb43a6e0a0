package clovermill.routing.api;

/** Whether new work may go to a member. */
public enum Availability { HEALTHY, DRAINING, GONE }
