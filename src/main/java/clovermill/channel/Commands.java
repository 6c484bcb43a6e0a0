package clovermill.channel;

import clovermill.CacheRouter.Availability;
import clovermill.CacheRouter.Member;
import clovermill.config.Config;
import clovermill.config.Json;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The numbered events of the command channel up to {@code cursor}, in order. The same form is used in the
 * configuration for what was known at the start.
 *
 * @param answeredUs the monotonic clock when the poll before the one that brought them was answered: they were made
 *            later; {@link #NEVER_ANSWERED_US} where there was none
 */
public record Commands(long cursor, List<Command> list, long answeredUs) {

    /** No poll was answered before: the events may be of any age. */
    public static final long NEVER_ANSWERED_US = Long.MIN_VALUE / 2;

    /** Events of any age. */
    public Commands(long cursor, List<Command> list) {
        this(cursor, list, NEVER_ANSWERED_US);
    }

    /** One event; {@code cursor} is its number. */
    public sealed interface Command {
        long cursor();
    }

    /** A whole list of members, or what has changed in it. */
    public record Nodes(long cursor, boolean full, List<Entry> entries) implements Command {}

    /** A member with its place in the settings' lists; {@code startedMs} is Unix time, 0 if long ago. */
    public record Entry(Member member, InetSocketAddress address, long startedMs) {}

    /** A purge of an object, or with a null {@code object} of a group, made at a Unix millisecond. */
    public record Drop(long cursor, Long object, int group, long whenMs) implements Command {}

    /** An event, or one entry of a list, that cannot be used; what else came with it can. */
    public record Unusable(long cursor, String reason) implements Command {}

    /** Without the events up to a number: whoever resends them, none is taken twice. */
    public Commands after(long read) {
        return new Commands(cursor, list.stream().filter(command -> command.cursor() > read).toList(),
                answeredUs);
    }

    /**
     * Reads {@code {"cursor":N,"cmds":[...]}}. What is wrong within an event is an {@link Unusable} in its place:
     * asked for again it would be as wrong, and all that follows, drains and purges too, would never be heard.
     *
     * @throws Json.Malformed if not even the numbers of the events can be read
     */
    public static Commands read(Object json, List<String> zones, List<String> kinds) throws Json.Malformed {
        Map<?, ?> root = Json.object(json);
        List<Command> list = new ArrayList<>();
        for (Object item : Json.list(root, "cmds")) {
            Map<?, ?> command = Json.object(item);
            long number = (long) Json.number(command, "cursor");
            try {
                if (command.get("nodes") != null) {
                    nodes(number, Json.object(command, "nodes"), zones, kinds, list);
                } else if (command.get("drop") != null) {
                    list.add(drop(number, Json.object(command, "drop")));
                }
            } catch (Json.Malformed malformed) {
                list.add(new Unusable(number, malformed.getMessage()));
            }
            // Events of other kinds may come with later versions; they count as read.
        }
        return new Commands((long) Json.number(root, "cursor"), list);
    }

    /**
     * Adds a list of members. Where an entry of a whole list cannot be used, or it names nobody, it counts as
     * changes: nobody is taken for gone on the word of a list that is not whole.
     */
    private static void nodes(long number, Map<?, ?> nodes, List<String> zones, List<String> kinds, List<Command> list)
            throws Json.Malformed {
        List<Entry> entries = new ArrayList<>();
        boolean full = Boolean.TRUE.equals(nodes.get("full"));
        boolean whole = true;
        for (Object item : Json.list(nodes, "servers")) {
            try {
                entries.add(entry(Json.object(item), zones, kinds));
            } catch (Json.Malformed malformed) {
                list.add(new Unusable(number, malformed.getMessage()));
                whole = false;
            }
        }
        if (full && entries.isEmpty()) {
            list.add(new Unusable(number, "nodes.servers: a whole list that names nobody"));
            whole = false;
        }
        list.add(new Nodes(number, full && whole, entries));
    }

    private static Entry entry(Map<?, ?> server, List<String> zones, List<String> kinds) throws Json.Malformed {
        String id = Json.string(server, "id");
        try {
            Availability availability = switch (Json.string(server, "state")) {
                case "ready" -> Availability.HEALTHY;
                case "draining" -> Availability.DRAINING;
                case "gone" -> Availability.GONE;
                default -> throw new Json.Malformed("state: unknown");
            };
            long started = server.get("started_ms") == null ? 0 : (long) Json.number(server, "started_ms");
            return new Entry(new Member(id, place(zones, server, "zone"), place(kinds, server, "kind"),
                    (int) Json.number(server, "cell"), availability, Json.number(server, "weight"), 0),
                    Config.address(Json.string(server, "addr")), started);
        } catch (Json.Malformed malformed) {
            throw new Json.Malformed("member " + id + ": " + malformed.getMessage());
        }
    }

    private static Command drop(long number, Map<?, ?> drop) throws Json.Malformed {
        long when = (long) Json.number(drop, "when");
        if (drop.get("id") == null) {
            return new Drop(number, null, (int) Json.number(drop, "family"), when);
        }
        String id = Json.string(drop, "id");
        try {
            return new Drop(number, Long.parseUnsignedLong(id, 16), 0, when);
        } catch (NumberFormatException e) {
            throw new Json.Malformed("not an object: " + id);
        }
    }

    private static int place(List<String> names, Map<?, ?> server, String field) throws Json.Malformed {
        String name = Json.string(server, field);
        if (!names.contains(name)) {
            throw new Json.Malformed(field + ": the settings name no " + name);
        }
        return names.indexOf(name);
    }
}
