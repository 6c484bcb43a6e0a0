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
 * What a director is given at its start. {@code known} holds the command channel's events so far in its own
 * form, {@code admin} is null where operators call nowhere, {@code settings} what the module sees, and the lists the
 * names of classes, zones and kinds.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress channel,
        long seed, int sockets, Object known, Settings settings, List<String> classes, List<String> zones,
        List<String> kinds, int streamsPerConnection, long connectionIdleUs, Shape shape) {

    private static final long DEFAULT_IDLE_US = 30_000_000;

    /** Where the text of a configuration comes from. */
    @FunctionalInterface
    public interface Source {

        /** The complete text. */
        String read() throws IOException;
    }

    /** Reads a file; whatever is wrong with it is reported in one line. */
    public static Config load(String file, String listen) throws Json.Malformed {
        return load(() -> Files.readString(Path.of(file)), listen);
    }

    /** As {@link #load(String, String)}, from a source that may try again. */
    public static Config load(Source source, String listen) throws Json.Malformed {
        try {
            return read(source.read(), listen);
        } catch (IOException | InvalidPathException failure) {
            throw new Json.Malformed("the file can't be read: " + failure.getMessage());
        }
    }

    /** Reads a text; {@code listen} stands above its own address, where it is not null. */
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
                Shape.of(root));
    }

    private static void positive(Map<?, ?> object, String member, String path) throws Json.Malformed {
        if (object.containsKey(member) && !(object.get(member) instanceof Double number && number > 0)) {
            throw new Json.Malformed(path + member + ": not a positive number");
        }
    }

    /**
     * Checks that a configuration can take the place of this one while the director serves.
     *
     * @throws Json.Malformed naming what it lacks of what this one has
     */
    public void checkNext(Config next) throws Json.Malformed {
        shape.check(next.shape);
    }

    /** An address of the form host:port, the host a literal one: nothing is looked up. */
    public static InetSocketAddress address(String text) throws Json.Malformed {
        int cut = text.lastIndexOf(':');
        if (cut > 0 && text.substring(0, cut).matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            try {
                return new InetSocketAddress(text.substring(0, cut), Integer.parseInt(text.substring(cut + 1)));
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

    /** Turns nested values into the pairs of the simulator's first message. */
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
