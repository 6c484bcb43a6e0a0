package clovermill.simulation.adapter;

import clovermill.config.LoadReports;
import clovermill.routing.api.ClientGone;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.PeerMessage;
import clovermill.routing.api.Probed;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Started;
import clovermill.routing.api.Timer;
import java.util.List;

/** Reads the simulator's events: the fields of a line, in the order of the protocol. Spans are microseconds. */
final class EventReader {

    private static final Note[] NOTES = Note.values();
    /** The flag of a request that a client repeats. */
    private static final int REPEAT_FLAG = 2;

    private final EndpointLists lists;

    /** Reads events that refer to these lists. */
    EventReader(EndpointLists lists) {
        this.lists = lists;
    }

    /** The event of a message, from the fields after the instance's number. */
    Event read(String message, Fields fields) {
        return switch (message) {
            case "CALL" -> request(fields);
            case "ACCEPTED" -> {
                String request = fields.text();
                long elapsedUs = fields.integer();
                String member = fields.text();
                yield new Started(request, fields.int32(), member, elapsedUs);
            }
            case "REPORT_BACK" -> outcome(fields);
            case "CLIENT_GONE" -> new ClientGone(fields.text());
            case "TICK_DUE" -> new Timer(fields.integer());
            case "ROSTER_CHANGE" -> members(fields);
            case "PURGED" -> {
                Long object = fields.optionalHex();
                long ageUs = fields.integerOr(0);
                yield new Purge(object, fields.int32Or(0), ageUs);
            }
            case "CHECK_RESULT" -> {
                long elapsedUs = fields.integer();
                String member = fields.text();
                Result result = result(fields);
                yield new Probed(member, result, elapsedUs, load(fields));
            }
            case "PEER_DATA" -> new PeerMessage(fields.int32(), fields.bytes());
            default -> throw fields.malformed("unknown message");
        };
    }

    private static Event request(Fields fields) {
        String id = fields.text();
        int requestClass = fields.int32();
        int tenant = fields.int32Or(0);
        Long object = fields.optionalHex();
        long graceUs = fields.integer();
        double sizeKb = fields.numberOr(0);
        int group = fields.int32Or(0);
        int part = fields.int32Or(0);
        boolean repeat = (fields.int32Or(0) & REPEAT_FLAG) != 0;
        return new Request(id, requestClass, tenant, object == null ? 0 : object, part, group, sizeKb, graceUs, repeat);
    }

    private static Event outcome(Fields fields) {
        String request = fields.text();
        int attempt = fields.int32();
        String member = fields.text();
        Result result = result(fields);
        long elapsedUs = fields.integer();
        boolean over = fields.flag();
        int note = fields.int32Or(0);
        long waitedUs = fields.integerOr(0);
        return new Outcome(request, attempt, member, result, elapsedUs, over,
                note >= 0 && note < NOTES.length ? NOTES[note] : Note.NONE, waitedUs, load(fields));
    }

    /** An outcome's code, as an HTTP status. */
    private static Result result(Fields fields) {
        int code = fields.int32();
        return switch (code) {
            case 200 -> Result.OK;
            case 500 -> Result.ERROR;
            case 503 -> Result.REFUSED;
            case 504 -> Result.TIMED_OUT;
            case 502 -> Result.UNCONNECTED;
            case 598 -> Result.BROKEN;
            case 499 -> Result.CANCELLED;
            case 410 -> Result.NOT_SENT;
            case 404 -> Result.MISS;
            default -> throw fields.malformed("unknown outcome " + code);
        };
    }

    /** A load report of name:value pairs; unknown names are ignored. */
    private static LoadReport load(Fields fields) {
        String pairs = fields.optionalText();
        if (pairs == null) {
            return null;
        }
        try {
            return LoadReports.read(pairs, ",");
        } catch (NumberFormatException invalid) {
            throw fields.malformed("not a load report: " + pairs);
        }
    }

    private Event members(Fields fields) {
        ListScope scope = scope(fields);
        if (scope == ListScope.FAILED) {
            return new Members(scope, List.of());
        }
        fields.integerOr(0); // the list's version, which no router needs
        return new Members(scope, lists.get(fields.int32(), fields));
    }

    private static ListScope scope(Fields fields) {
        String word = fields.text();
        return switch (word) {
            case "delta" -> ListScope.CHANGES;
            case "full" -> ListScope.FULL;
            case "cached" -> ListScope.REMEMBERED;
            case "failed" -> ListScope.FAILED;
            default -> throw fields.malformed("unknown scope " + word);
        };
    }
}
