package clovermill.routing.api;

import java.util.List;

/**
 * All members that operators have taken out, by id. A member is used only where both they and the list allow; what
 * the list has of one that was taken out or put back is told once more after this.
 */
public record Operated(List<String> out) implements Event {}
