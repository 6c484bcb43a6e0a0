package clovermill.routing.api;

/**
 * Other settings are in force. Classes keep their places in the list, further ones follow; requests that are open
 * keep what they began with.
 */
public record Retuned(Settings settings) implements Event {}
