package clovermill.routing.api;

import java.util.List;

/** An update of the member list. */
public record MembersChanged(ListScope scope, List<Member> members) implements Event {}
