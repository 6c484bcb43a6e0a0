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

/** Parses the simulator's events: the fields of a line, in the order of the protocol. Durations are microseconds. */
final class EventReader {

    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();
    /** The flag of a request that its client sent before. */
    private static final int REPEAT_FLAG = 2;

    private final EndpointLists lists;

    /** Creates a reader of events that refer to {@code lists}. */
    EventReader(EndpointLists lists) {
        this.lists = lists;
    }

    /** Returns the event of a message from the fields after the instance number. */
    Event read(String message, Fields fields) {
        return switch (message) {
            case "CALL" -> request(fields);
            case "ACCEPTED" -> {
                String request = fields.text();
                long elapsedUs = fields.int64();
                String member = fields.text();
                yield new ResponseStarted(request, fields.int32(), member, elapsedUs);
            }
            case "REPORT_BACK" -> attemptEnded(fields);
            case "CLIENT_GONE" -> new RequestCancelled(fields.text());
            case "TICK_DUE" -> new TimerExpired(fields.int64());
            case "ROSTER_CHANGE" -> membersChanged(fields);
            case "PURGED" -> {
                Long object = fields.optionalHex();
                long ageUs = fields.int64OrDefault(0);
                yield new Purge(object, fields.int32OrDefault(0), ageUs);
            }
            case "CHECK_RESULT" -> {
                long elapsedUs = fields.int64();
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
        int tenant = fields.int32OrDefault(0);
        Long object = fields.optionalHex();
        long timeoutUs = fields.int64();
        double sizeKb = fields.numberOrDefault(0);
        int group = fields.int32OrDefault(0);
        int part = fields.int32OrDefault(0);
        boolean repeat = (fields.int32OrDefault(0) & REPEAT_FLAG) != 0;
        return new Request(id, requestClass, tenant, object == null ? 0 : object, part, group, sizeKb, timeoutUs,
                repeat);
    }

    private static Event attemptEnded(Fields fields) {
        String request = fields.text();
        int attempt = fields.int32();
        String member = fields.text();
        Result result = result(fields);
        long elapsedUs = fields.int64();
        boolean requestEnded = fields.flag();
        int cacheStatus = fields.int32OrDefault(0);
        long waitedUs = fields.int64OrDefault(0);
        return new AttemptEnded(request, attempt, member, result, elapsedUs, requestEnded,
                cacheStatus >= 0 && cacheStatus < CACHE_STATUSES.length ? CACHE_STATUSES[cacheStatus]
                        : CacheStatus.NONE,
                waitedUs, load(fields));
    }

    /** Parses a result code, which resembles an HTTP status. */
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
            default -> throw fields.malformed("unknown result code " + code);
        };
    }

    /** Parses a load report of name:value pairs; ignores unknown names. */
    private static LoadReport load(Fields fields) {
        String pairs = fields.optionalText();
        if (pairs == null) {
            return null;
        }
        try {
            return LoadReportParser.parse(pairs, ",");
        } catch (NumberFormatException invalid) {
            throw fields.malformed("invalid load report: " + pairs);
        }
    }

    private Event membersChanged(Fields fields) {
        ListScope scope = scope(fields);
        if (scope == ListScope.FAILED) {
            return new MembersChanged(scope, List.of());
        }
        fields.int64OrDefault(0); // the version of the list, which no router uses
        return new MembersChanged(scope, lists.get(fields.int32(), fields));
    }

    private static ListScope scope(Fields fields) {
        String value = fields.text();
        return switch (value) {
            case "delta" -> ListScope.CHANGES;
            case "full" -> ListScope.FULL;
            case "cached" -> ListScope.LAST_KNOWN;
            case "failed" -> ListScope.FAILED;
            default -> throw fields.malformed("unknown scope " + value);
        };
    }
}
