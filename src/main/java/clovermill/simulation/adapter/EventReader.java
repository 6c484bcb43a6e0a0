package clovermill.simulation.adapter;

import clovermill.config.LoadReportParser;
import clovermill.routing.api.AttemptEnded;
import clovermill.routing.api.CacheStatus;
import clovermill.routing.api.Event;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.MembersChanged;
import clovermill.routing.api.PeerMessage;
import clovermill.routing.api.ProbeEnded;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Request;
import clovermill.routing.api.RequestCancelled;
import clovermill.routing.api.ResponseStarted;
import clovermill.routing.api.Result;
import clovermill.routing.api.TimerExpired;
import java.util.List;

/** Reads the simulator's events: the fields of a line, in the order of the protocol. Spans are microseconds. */
final class EventReader {

    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();
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
                yield new ResponseStarted(request, fields.int32(), member, elapsedUs);
            }
            case "REPORT_BACK" -> outcome(fields);
            case "CLIENT_GONE" -> new RequestCancelled(fields.text());
            case "TICK_DUE" -> new TimerExpired(fields.integer());
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
                yield new ProbeEnded(member, result, elapsedUs, load(fields));
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
        boolean requestEnded = fields.flag();
        int cacheStatus = fields.int32Or(0);
        long waitedUs = fields.integerOr(0);
        return new AttemptEnded(request, attempt, member, result, elapsedUs, requestEnded,
                cacheStatus >= 0 && cacheStatus < CACHE_STATUSES.length ? CACHE_STATUSES[cacheStatus]
                        : CacheStatus.NONE,
                waitedUs, load(fields));
    }

    /** An outcome's code, as an HTTP status. */
    private static Result result(Fields fields) {
        int code = fields.int32();
        return switch (code) {
            case 200 -> Result.OK;
            case 500 -> Result.ERROR;
            case 503 -> Result.REJECTED;
            case 504 -> Result.TIMED_OUT;
            case 502 -> Result.CONNECT_FAILED;
            case 598 -> Result.CONNECTION_LOST;
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
            return LoadReportParser.parse(pairs, ",");
        } catch (NumberFormatException invalid) {
            throw fields.malformed("not a load report: " + pairs);
        }
    }

    private Event members(Fields fields) {
        ListScope scope = scope(fields);
        if (scope == ListScope.FAILED) {
            return new MembersChanged(scope, List.of());
        }
        fields.integerOr(0); // the list's version, which no router needs
        return new MembersChanged(scope, lists.get(fields.int32(), fields));
    }

    private static ListScope scope(Fields fields) {
        String word = fields.text();
        return switch (word) {
            case "delta" -> ListScope.CHANGES;
            case "full" -> ListScope.FULL;
            case "cached" -> ListScope.LAST_KNOWN;
            case "failed" -> ListScope.FAILED;
            default -> throw fields.malformed("unknown scope " + word);
        };
    }
}
