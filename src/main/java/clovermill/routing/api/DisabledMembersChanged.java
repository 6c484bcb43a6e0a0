package clovermill.routing.api;

import java.util.List;

/**
 * The ids of all members that operators have disabled. A member is used only if it is not disabled and the member list
 * allows it; after this event, the host reports the current list entries of newly disabled or enabled members again.
 */
public record DisabledMembersChanged(List<String> disabledIds) implements Event {}
