package clovermill.routing.api;

/** Writes a line to the log. */
public record Log(String line) implements Action {}
