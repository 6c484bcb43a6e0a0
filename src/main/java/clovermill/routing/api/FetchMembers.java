package clovermill.routing.api;

/** Requests the full list of members once. */
public record FetchMembers() implements Action {}
