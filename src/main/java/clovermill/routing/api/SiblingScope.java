package clovermill.routing.api;

/** The caches that may be the source of a fill. */
public enum SiblingScope { NONE, LOCATION, ANY }
