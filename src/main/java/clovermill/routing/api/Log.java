package clovermill.routing.api;

/** A line for the operators. */
public record Log(String line) implements Action {}
