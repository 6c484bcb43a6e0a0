package clovermill.routing.api;

import java.util.List;

/** News of the members. */
public record Members(ListScope scope, List<Member> members) implements Event {}
