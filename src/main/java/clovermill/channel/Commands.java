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
 */
public record Commands(long cursor, List<Command> list) {

    /** One event; {@code cursor} is its number. */
    public sealed interface Command {
        long cursor();
    }

    /** A whole list of members, or what has changed in it. */
    public record Nodes(long cursor, boolean full, List<Entry> entries) implements Command { }

    /** A member with its place in the settings' lists; {@code startedMs} is Unix time, 0 if long ago. */
    public record Entry(Member member, InetSocketAddress address, long startedMs) { }

    /** A purge of an object, or with a null {@code object} of a group, made at a Unix millisecond. */
    public record Drop(long cursor, Long object, int group, long whenMs) implements Command { }

    /** Stands for a zone or kind that the settings do not name. */
    private static final int UNKNOWN = -2;

    /** Without the events up to a number: whoever resends them, none is taken twice. */
    public Commands after(long read) {
        return new Commands(cursor, list.stream().filter(command -> command.cursor() > read).toList());
    }

    /** Reads {@code {"cursor":N,"cmds":[...]}}. */
    public static Commands read(Object json, List<String> zones, List<String> kinds) throws Json.Malformed {
        Map<?, ?> root = Json.object(json);
        List<Command> list = new ArrayList<>();
        for (Object item : Json.list(root, "cmds")) {
            Map<?, ?> command = Json.object(item);
            long number = (long) Json.number(command, "cursor");
            if (command.get("nodes") != null) {
                list.add(nodes(number, Json.object(command, "nodes"), zones, kinds));
            } else if (command.get("drop") != null) {
                list.add(drop(number, Json.object(command, "drop")));
            }
            // Events of other kinds may come with later versions; they count as read.
        }
        return new Commands((long) Json.number(root, "cursor"), list);
    }

    private static Command nodes(long number, Map<?, ?> nodes, List<String> zones, List<String> kinds)
            throws Json.Malformed {
        List<Entry> entries = new ArrayList<>();
        for (Object item : Json.list(nodes, "servers")) {
            Map<?, ?> server = Json.object(item);
            Availability availability = switch (Json.string(server, "state")) {
                case "ready" -> Availability.HEALTHY;
                case "draining" -> Availability.DRAINING;
                case "gone" -> Availability.GONE;
                default -> throw new Json.Malformed("an unknown state of a member");
            };
            long started = server.get("started_ms") == null ? 0 : (long) Json.number(server, "started_ms");
            entries.add(new Entry(new Member(Json.string(server, "id"),
                    place(zones, Json.string(server, "zone")), place(kinds, Json.string(server, "kind")),
                    (int) Json.number(server, "cell"), availability, Json.number(server, "weight"), 0),
                    Config.address(Json.string(server, "addr")), started));
        }
        return new Nodes(number, Boolean.TRUE.equals(nodes.get("full")), entries);
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

    private static int place(List<String> names, String name) {
        int place = names.indexOf(name);
        return place < 0 ? UNKNOWN : place;
    }
}
