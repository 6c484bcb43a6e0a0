package clovermill.routing.api;

import java.util.List;

/** An update of the member list; {@code scope} says whether it is the full list or changes only. */
public record Members(ListScope scope, List<Member> members) implements Event {}
