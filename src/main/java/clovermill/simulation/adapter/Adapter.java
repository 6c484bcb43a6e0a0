package clovermill.simulation.adapter;

import clovermill.config.Json;
import clovermill.config.LoadReports;
import clovermill.config.SettingsReader;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.Action;
import clovermill.routing.api.Availability;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Cancel;
import clovermill.routing.api.ClientGone;
import clovermill.routing.api.CloseIdle;
import clovermill.routing.api.Event;
import clovermill.routing.api.Fail;
import clovermill.routing.api.FetchMembers;
import clovermill.routing.api.ListScope;
import clovermill.routing.api.LoadReport;
import clovermill.routing.api.Log;
import clovermill.routing.api.Member;
import clovermill.routing.api.Members;
import clovermill.routing.api.Note;
import clovermill.routing.api.Outcome;
import clovermill.routing.api.PeerMessage;
import clovermill.routing.api.Probe;
import clovermill.routing.api.Probed;
import clovermill.routing.api.Purge;
import clovermill.routing.api.Refuse;
import clovermill.routing.api.Request;
import clovermill.routing.api.Result;
import clovermill.routing.api.Send;
import clovermill.routing.api.SendVia;
import clovermill.routing.api.SetTimer;
import clovermill.routing.api.Settings;
import clovermill.routing.api.Started;
import clovermill.routing.api.Tell;
import clovermill.routing.api.Timer;
import clovermill.routing.api.Watch;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Hosts routers on the wire: reads batches of events, prints one reply for each. It decides nothing. */
public final class Adapter {

    private static final Note[] NOTES = Note.values();

    private final LineReader lines;
    private final OutputStream output;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, CacheRouter> routers = new HashMap<>();
    private final Map<Integer, List<Member>> directories = new HashMap<>();

    public Adapter(InputStream input, OutputStream output) {
        this.lines = new LineReader(input);
        this.output = output;
    }

    /** Serves batch after batch until the input ends. */
    public void run() throws IOException {
        for (String line = lines.next(); line != null; line = lines.next()) {
            Fields fields = new Fields(line, lines.number());
            if (!fields.text().equals("BEGIN_BATCH")) {
                throw fields.malformed("a batch was expected");
            }
            batch(fields.integer());
            reply.append("YIELD\n");
            output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
            reply.setLength(0);
        }
    }

    private void batch(long now) throws IOException {
        while (true) {
            Fields fields = nextLine();
            String message = fields.text();
            if (message.equals("EOB")) {
                return;
            }
            if (message.equals("DIRECTORY")) {
                directory(fields);
                continue;
            }
            int who = fields.small();
            switch (message) {
                case "HELLO" -> {
                    long seed = fields.integer();
                    routers.put(who, new RequestRouter(settings(fields), seed));
                }
                case "SHUTDOWN" -> {
                    router(who, fields);
                    routers.remove(who);
                }
                default -> deliver(now, who, router(who, fields), event(message, fields));
            }
        }
    }

    /** The rest of a line as settings. */
    private static Settings settings(Fields fields) {
        Map<String, String> values = new HashMap<>();
        while (fields.more()) {
            String pair = fields.text();
            int cut = pair.indexOf('=');
            if (cut < 1) {
                throw fields.malformed("not a setting: " + pair);
            }
            values.put(pair.substring(0, cut), pair.substring(cut + 1));
        }
        try {
            return SettingsReader.read(values);
        } catch (Json.Malformed malformed) {
            throw fields.malformed(malformed.getMessage());
        }
    }

    private Fields nextLine() throws IOException {
        String line = lines.next();
        if (line == null) {
            throw new MalformedInput("line " + (lines.number() + 1) + ": the input ended inside a batch");
        }
        return new Fields(line, lines.number());
    }

    private CacheRouter router(int who, Fields fields) {
        CacheRouter router = routers.get(who);
        if (router == null) {
            throw fields.malformed("unknown instance " + who);
        }
        return router;
    }

    private void deliver(long now, int who, CacheRouter router, Event event) {
        Consumer<Action> print = action -> print(who, action);
        try {
            router.handle(now, event, print);
        } catch (RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            line("DIE", who).append(' ').append(failure).append(trace.length > 0 ? " at " + trace[0] : "");
            reply.append('\n');
        }
    }

    // ---- Events ---------------------------------------------------------------------------------

    private Event event(String message, Fields fields) {
        return switch (message) {
            case "CALL" -> request(fields);
            case "ACCEPTED" -> {
                String request = fields.text();
                long elapsed = fields.integer();
                String member = fields.text();
                yield new Started(request, fields.small(), member, elapsed);
            }
            case "REPORT_BACK" -> outcome(fields);
            case "CLIENT_GONE" -> new ClientGone(fields.text());
            case "TICK_DUE" -> new Timer(fields.integer());
            case "ROSTER_CHANGE" -> roster(fields);
            case "PURGED" -> {
                Long object = fields.optionalHex();
                long age = fields.integerOr(0);
                yield new Purge(object, fields.smallOr(0), age);
            }
            case "CHECK_RESULT" -> {
                long elapsed = fields.integer();
                String member = fields.text();
                Result result = result(fields);
                yield new Probed(member, result, elapsed, load(fields));
            }
            case "PEER_DATA" -> new PeerMessage(fields.small(), fields.bytes());
            default -> throw fields.malformed("unknown message");
        };
    }

    private static Event request(Fields fields) {
        String id = fields.text();
        int requestClass = fields.small();
        int tenant = fields.smallOr(0);
        Long object = fields.optionalHex();
        long grace = fields.integer();
        double size = fields.numberOr(0);
        int group = fields.smallOr(0);
        int part = fields.smallOr(0);
        boolean repeat = (fields.smallOr(0) & 2) != 0;
        return new Request(id, requestClass, tenant, object == null ? 0 : object, part, group,
                size, grace,
                repeat);
    }

    private static Event outcome(Fields fields) {
        String request = fields.text();
        int attempt = fields.small();
        String member = fields.text();
        Result result = result(fields);
        long elapsed = fields.integer();
        boolean over = fields.flag();
        int note = fields.smallOr(0);
        long waited = fields.integerOr(0);
        return new Outcome(request, attempt, member, result, elapsed, over,
                note >= 0 && note < NOTES.length ? NOTES[note] : Note.NONE, waited, load(fields));
    }

    private static Result result(Fields fields) {
        int code = fields.small();
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

    /** A load report of name:value pairs; names that the interface does not know are passed over. */
    private static LoadReport load(Fields fields) {
        String pairs = fields.optionalText();
        if (pairs == null) {
            return null;
        }
        try {
            return LoadReports.read(pairs, ",");
        } catch (NumberFormatException e) {
            throw fields.malformed("not a load report: " + pairs);
        }
    }

    private Event roster(Fields fields) {
        String word = fields.text();
        ListScope scope = switch (word) {
            case "delta" -> ListScope.CHANGES;
            case "full" -> ListScope.FULL;
            case "cached" -> ListScope.REMEMBERED;
            case "failed" -> ListScope.FAILED;
            default -> throw fields.malformed("unknown scope " + word);
        };
        if (scope == ListScope.FAILED) {
            return new Members(scope, List.of());
        }
        fields.integerOr(0);
        int list = fields.small();
        List<Member> members = directories.get(list);
        if (members == null) {
            throw fields.malformed("unknown list " + list);
        }
        return new Members(scope, members);
    }

    private void directory(Fields header) throws IOException {
        int list = header.small();
        int count = header.small();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Fields fields = nextLine();
            if (!fields.text().equals("NODE")) {
                throw fields.malformed("an entry of list " + list + " was expected");
            }
            String id = fields.text();
            int zone = fields.smallOr(0);
            int kind = fields.smallOr(0);
            int cell = fields.smallOr(0);
            String word = fields.text();
            Availability availability = switch (word) {
                case "healthy" -> Availability.HEALTHY;
                case "cordoned" -> Availability.DRAINING;
                case "deregistered" -> Availability.GONE;
                default -> throw fields.malformed("unknown availability " + word);
            };
            double weight = fields.numberOr(1);
            members.add(new Member(id, zone, kind, cell, availability, weight, fields.integerOr(0)));
        }
        directories.put(list, List.copyOf(members));
    }

    // ---- Actions --------------------------------------------------------------------------------

    private StringBuilder line(String word, int who) {
        return reply.append(word).append(' ').append(who);
    }

    private void print(int who, Action action) {
        if (action instanceof SendVia a) {
            line("SERVE_VIA", who).append(' ').append(a.request()).append(' ').append(a.member())
                    .append(' ')
                    .append(a.timeoutUs()).append(' ').append(a.source()).append(' ').append(a.rank()).append(' ')
                    .append(a.maxAgeUs()).append(' ')
                    .append((a.join() ? 1 : 0) + (a.heldOnly() ? 2 : 0) + (a.parentKeepsNone() ? 4 : 0)
                            + (a.renew() ? 8 : 0));
        } else if (action instanceof Send a) {
            line("PASS_ON", who).append(' ').append(a.request()).append(' ').append(a.member()).append(' ')
                    .append(a.timeoutUs());
        } else if (action instanceof Cancel a) {
            line("CALL_OFF", who).append(' ').append(a.request()).append(' ').append(a.attempt());
        } else if (action instanceof Refuse a) {
            line("SHED", who).append(' ').append(a.request()).append(' ').append(a.retryAfterUs());
        } else if (action instanceof Fail a) {
            line("FAIL", who).append(' ').append(a.request());
        } else if (action instanceof SetTimer a) {
            line("WAKE_ME", who).append(' ').append(a.delayUs()).append(' ').append(a.token());
        } else if (action instanceof Probe a) {
            line("ASK_LOAD", who).append(' ').append(a.member());
        } else if (action instanceof CloseIdle a) {
            line("RELEASE", who).append(' ').append(a.member());
        } else if (action instanceof Tell a) {
            line("NOTIFY", who).append(' ').append(a.to() < 0 ? "all" : Integer.toString(a.to())).append(' ')
                    .append(a.payload().length == 0 ? "-" : Base64.getEncoder().encodeToString(a.payload()));
        } else if (action instanceof Watch a) {
            line("OBSERVE", who).append(' ').append(a.on() ? 1 : 0);
        } else if (action instanceof FetchMembers) {
            line("FETCH", who);
        } else if (action instanceof Log a) {
            line("NOTE_DOWN", who).append(' ').append(a.line());
        }
        reply.append('\n');
    }
}
