package clovermill.routing.api;

/** What a list of members stands for. */
public enum ListScope { CHANGES, FULL, REMEMBERED, FAILED }
