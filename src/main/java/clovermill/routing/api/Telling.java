package clovermill.routing.api;

/** How much the answers tell of where they came from. */
public enum Telling { NONE, HITS, ALL }
