package clovermill.routing.api;

/** Requests the full member list once. */
public record FetchMembers() implements Action {}
