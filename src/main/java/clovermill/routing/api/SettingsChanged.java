package clovermill.routing.api;

/**
 * New settings take effect. Existing classes keep their indexes, and new ones are appended; open requests keep the
 * class with which they started.
 */
public record SettingsChanged(Settings settings) implements Event {}
