package clovermill.controlplane.discovery;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.routing.api.Availability;
import clovermill.routing.api.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the JSON of the command channel, {@code {"cursor":N,"cmds":[...]}}, which is also the form of the
 * configuration's {@code known}.
 */
public final class DiscoveryEventParser {

    private final List<String> zones;
    private final List<String> kinds;
    private final List<DiscoveryEvent> events = new ArrayList<>();

    private DiscoveryEventParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Reads the events of an answer. A malformed event becomes an {@link UnusableEvent} in its place instead of an
     * error: asking for it again would bring it again, and the drains and purges after it would never be applied.
     * Events of unknown types, which later versions may add, are passed over.
     *
     * @param zones the settings' names of zones
     * @param kinds the settings' names of kinds of endpoints
     * @throws Json.Malformed if not even the numbers of the events can be read
     */
    public static DiscoveryEvents parse(Object json, List<String> zones, List<String> kinds) throws Json.Malformed {
        DiscoveryEventParser parser = new DiscoveryEventParser(zones, kinds);
        Map<?, ?> root = Json.object(json);
        for (Object item : Json.list(root, "cmds")) {
            parser.parseEvent(Json.object(item));
        }
        return new DiscoveryEvents((long) Json.number(root, "cursor"), parser.events);
    }

    private void parseEvent(Map<?, ?> event) throws Json.Malformed {
        long cursor = (long) Json.number(event, "cursor");
        try {
            if (event.get("nodes") != null) {
                parseList(cursor, Json.object(event, "nodes"));
            } else if (event.get("drop") != null) {
                events.add(purge(cursor, Json.object(event, "drop")));
            }
        } catch (Json.Malformed malformed) {
            events.add(new UnusableEvent(cursor, malformed.getMessage()));
        }
    }

    /**
     * Adds a list of endpoints. A full list with an unusable entry, or without any entry, is applied as changes: it is
     * no evidence that an endpoint which it does not name is gone.
     */
    private void parseList(long cursor, Map<?, ?> list) throws Json.Malformed {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        boolean full = Boolean.TRUE.equals(list.get("full"));
        boolean complete = true;
        for (Object item : Json.list(list, "servers")) {
            try {
                endpoints.add(endpoint(Json.object(item)));
            } catch (Json.Malformed malformed) {
                events.add(new UnusableEvent(cursor, malformed.getMessage()));
                complete = false;
            }
        }
        if (full && endpoints.isEmpty()) {
            events.add(new UnusableEvent(cursor, "nodes.servers: a full list without endpoints"));
            complete = false;
        }
        events.add(new EndpointListChanged(cursor, full && complete, endpoints));
    }

    private ListedEndpoint endpoint(Map<?, ?> server) throws Json.Malformed {
        String id = Json.string(server, "id");
        try {
            long startedUnixMs = server.get("started_ms") == null ? 0 : (long) Json.number(server, "started_ms");
            Member member = new Member(id, indexOf(zones, server, "zone"), indexOf(kinds, server, "kind"),
                    (int) Json.number(server, "cell"), availability(server), Json.number(server, "weight"), 0);
            return new ListedEndpoint(member, Config.address(Json.string(server, "addr")), startedUnixMs);
        } catch (Json.Malformed malformed) {
            throw new Json.Malformed("member " + id + ": " + malformed.getMessage());
        }
    }

    private static Availability availability(Map<?, ?> server) throws Json.Malformed {
        return switch (Json.string(server, "state")) {
            case "ready" -> Availability.HEALTHY;
            case "draining" -> Availability.DRAINING;
            case "gone" -> Availability.GONE;
            default -> throw new Json.Malformed("state: unknown");
        };
    }

    private static CopiesPurged purge(long cursor, Map<?, ?> drop) throws Json.Malformed {
        long stampUnixMs = (long) Json.number(drop, "when");
        if (drop.get("id") == null) {
            return new CopiesPurged(cursor, null, (int) Json.number(drop, "family"), stampUnixMs);
        }
        String id = Json.string(drop, "id");
        try {
            return new CopiesPurged(cursor, Long.parseUnsignedLong(id, 16), 0, stampUnixMs);
        } catch (NumberFormatException notHexadecimal) {
            throw new Json.Malformed("not an object: " + id);
        }
    }

    private static int indexOf(List<String> names, Map<?, ?> server, String field) throws Json.Malformed {
        String name = Json.string(server, field);
        if (!names.contains(name)) {
            throw new Json.Malformed(field + ": the settings name no " + name);
        }
        return names.indexOf(name);
    }
}
