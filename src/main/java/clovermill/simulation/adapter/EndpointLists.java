package clovermill.simulation.adapter;

import clovermill.routing.api.Availability;
import clovermill.routing.api.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint lists defined by {@code DIRECTORY} and {@code NODE} lines, by number; a later list replaces an earlier
 * one with the same number.
 */
final class EndpointLists {

    private static final double DEFAULT_WEIGHT = 1;

    private final Map<Integer, List<Member>> lists = new HashMap<>();

    /** Returns the list with a number; throws the error for the line of {@code fields} if there is none. */
    List<Member> get(int number, Fields fields) {
        List<Member> members = lists.get(number);
        if (members == null) {
            throw fields.malformed("unknown list " + number);
        }
        return members;
    }

    /** Begins a list with a number. */
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
                throw fields.malformed("expected an entry of list " + number);
            }
            String id = fields.text();
            int zone = fields.int32OrDefault(0);
            int kind = fields.int32OrDefault(0);
            int cell = fields.int32OrDefault(0);
            Availability availability = availability(fields);
            double weight = fields.numberOrDefault(DEFAULT_WEIGHT);
            members.add(new Member(id, zone, kind, cell, availability, weight, fields.int64OrDefault(0)));
        }

        /** Stores the list under its number. */
        void finish() {
            lists.put(number, List.copyOf(members));
        }
    }

    private static Availability availability(Fields fields) {
        String value = fields.text();
        return switch (value) {
            case "healthy" -> Availability.HEALTHY;
            case "cordoned" -> Availability.DRAINING;
            case "deregistered" -> Availability.REMOVED;
            default -> throw fields.malformed("unknown availability " + value);
        };
    }
}
