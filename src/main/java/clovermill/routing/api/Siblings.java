package clovermill.routing.api;

/** Which caches can supply a fill. */
public enum Siblings { NONE, LOCATION, ANY }
