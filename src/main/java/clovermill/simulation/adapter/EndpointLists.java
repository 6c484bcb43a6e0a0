package clovermill.simulation.adapter;

import clovermill.routing.api.Availability;
import clovermill.routing.api.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The lists of endpoints that {@code DIRECTORY} and {@code NODE} lines define, by number; a later list replaces one.
 */
final class EndpointLists {

    private static final double DEFAULT_WEIGHT = 1;

    private final Map<Integer, List<Member>> lists = new HashMap<>();

    /** The list of a number; the line in {@code fields} is malformed if there is none. */
    List<Member> get(int number, Fields fields) {
        List<Member> members = lists.get(number);
        if (members == null) {
            throw fields.malformed("unknown list " + number);
        }
        return members;
    }

    /** Begins the list of a number. */
    Builder begin(int number) {
        return new Builder(number);
    }

    /** Collects the endpoints of one list. */
    final class Builder {

        private final int number;
        private final List<Member> members = new ArrayList<>();

        private Builder(int number) {
            this.number = number;
        }

        /** Adds the endpoint of a {@code NODE} line. */
        void add(Fields fields) {
            if (!fields.text().equals("NODE")) {
                throw fields.malformed("an entry of list " + number + " was expected");
            }
            String id = fields.text();
            int zone = fields.int32Or(0);
            int kind = fields.int32Or(0);
            int cell = fields.int32Or(0);
            Availability availability = availability(fields);
            double weight = fields.numberOr(DEFAULT_WEIGHT);
            members.add(new Member(id, zone, kind, cell, availability, weight, fields.integerOr(0)));
        }

        /** Makes the list the one of its number. */
        void finish() {
            lists.put(number, List.copyOf(members));
        }
    }

    private static Availability availability(Fields fields) {
        String word = fields.text();
        return switch (word) {
            case "healthy" -> Availability.HEALTHY;
            case "cordoned" -> Availability.DRAINING;
            case "deregistered" -> Availability.REMOVED;
            default -> throw fields.malformed("unknown availability " + word);
        };
    }
}
