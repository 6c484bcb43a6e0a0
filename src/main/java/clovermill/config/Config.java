package clovermill.config;

import clovermill.routing.api.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The configuration of a director.
 *
 * @param listen the address for clients
 * @param admin the address of the admin server, or null for none
 * @param channel the address of the discovery service
 * @param sockets the number of file descriptors that the director may use
 * @param initialEvents the discovery events up to the start, in the form of a discovery answer
 * @param settings the settings of the router
 * @param classes the names of the request classes
 * @param zones the names of the zones
 * @param kinds the names of the endpoint kinds
 * @param memberTypes the members by which an incomplete reloaded configuration is recognised
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress channel,
        long seed, int sockets, Object initialEvents, Settings settings, List<String> classes, List<String> zones,
        List<String> kinds, int streamsPerConnection, long connectionIdleUs, MemberTypes memberTypes) {

    private static final long DEFAULT_IDLE_US = 30_000_000;

    /** The source of a configuration's text. */
    @FunctionalInterface
    public interface Source {

        /** Returns the complete text. */
        String read() throws IOException;
    }

    /** Reads a file; any fault in it is reported in one line. */
    public static Config load(String file, String listen) throws Json.Malformed {
        return load(() -> Files.readString(Path.of(file)), listen);
    }

    /** As {@link #load(String, String)}, from a source that may retry. */
    public static Config load(Source source, String listen) throws Json.Malformed {
        try {
            return read(source.read(), listen);
        } catch (IOException | InvalidPathException failure) {
            throw new Json.Malformed("the file can't be read: " + failure.getMessage());
        }
    }

    /** Parses a text; {@code listen}, if not null, overrides its listening address. */
    public static Config read(String text, String listen) throws Json.Malformed {
        Map<?, ?> root = Json.object(Json.parse(text));
        Map<?, ?> settings = Json.object(root, "settings");
        Map<String, String> pairs = new HashMap<>();
        flatten("", settings, pairs);
        List<String> classes = new ArrayList<>();
        for (Object item : Json.list(settings, "request-classes")) {
            Map<?, ?> each = Json.object(item);
            String name = Json.string(each, "name");
            if (classes.contains(name)) {
                throw new Json.Malformed("settings.request-classes: " + name + " is there twice");
            }
            positive(each, "deadline-us", "settings.request-classes: " + name + ".");
            classes.add(name);
        }
        if (settings.get("policy-limits") instanceof Map<?, ?> limits) {
            positive(limits, "max-attempts", "settings.policy-limits.");
        }
        Settings read = SettingsReader.read(pairs);
        if (read.zone() < 0 || read.classes().isEmpty() || read.capabilities().maxAttempts() < 1) {
            throw new Json.Malformed("the settings name no zone, no class or no attempt");
        }
        return new Config(Json.string(root, "name"),
                address(listen != null ? listen : Json.string(root, "listen")),
                root.get("admin") == null ? null : address(Json.string(root, "admin")),
                address(Json.string(root, "channel")), seed(Json.string(root, "seed")),
                (int) Json.number(Json.object(root, "limits"), "sockets"), Json.object(root, "known"), read, classes,
                names(settings, "zones"), names(settings, "kinds"),
                (int) integer(pairs.getOrDefault("policy-limits.streams-per-conn", "1")),
                integer(pairs.getOrDefault("policy-limits.conn-idle-us", "" + DEFAULT_IDLE_US)),
                MemberTypes.of(root));
    }

    private static void positive(Map<?, ?> object, String member, String path) throws Json.Malformed {
        if (object.containsKey(member) && !(object.get(member) instanceof Double number && number > 0)) {
            throw new Json.Malformed(path + member + ": not a positive number");
        }
    }

    /**
     * Checks that a configuration is complete and can be applied in a director that was started with this one.
     *
     * @throws Json.Malformed naming the first required member that {@code next} lacks or has with another type
     */
    public void checkNext(Config next) throws Json.Malformed {
        memberTypes.check(next.memberTypes);
    }

    /** Parses an address of the form host:port; the host must be an IP literal, so that no name is resolved. */
    public static InetSocketAddress address(String text) throws Json.Malformed {
        int colon = text.lastIndexOf(':');
        if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            try {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            } catch (IllegalArgumentException e) {
                // reported below
            }
        }
        throw new Json.Malformed("not an address: " + text);
    }

    private static long seed(String text) throws Json.Malformed {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new Json.Malformed("the seed is no hexadecimal number");
        }
    }

    private static long integer(String text) throws Json.Malformed {
        try {
            return Math.max(1, (long) Double.parseDouble(text));
        } catch (NumberFormatException e) {
            throw new Json.Malformed("not a number among the settings: " + text);
        }
    }

    private static List<String> names(Map<?, ?> settings, String member) throws Json.Malformed {
        return Json.list(settings, member).stream().map(String::valueOf).toList();
    }

    /** Flattens nested values into pairs of path and value, as in the simulator's first message. */
    private static void flatten(String path, Object value, Map<String, String> pairs) throws Json.Malformed {
        if (value instanceof Map<?, ?> object) {
            for (Map.Entry<?, ?> member : object.entrySet()) {
                flatten(path.isEmpty() ? "" + member.getKey() : path + "." + member.getKey(), member.getValue(),
                        pairs);
            }
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            pairs.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), pairs);
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, list.stream().map(String::valueOf).collect(Collectors.joining(",")));
        } else if (value != null) {
            pairs.put(path, value.toString());
        }
    }
}
