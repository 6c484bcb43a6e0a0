package clovermill.routing.api;

/** Asks for the whole list of members once. */
public record FetchMembers() implements Action {}
