package clovermill.routing.api;

/** The detail in which responses report their {@link CacheStatus}. */
public enum CacheStatusDetail { NONE, HITS, ALL }
