package clovermill.config;

import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Effect;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.api.SlowStartRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Builds the router's settings from pairs of path and value, the form in which the simulator's protocol and the
 * configuration supply them. Unknown keys are ignored; missing ones default to zero or false unless stated otherwise.
 */
public final class SettingsReader {

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads the settings.
     *
     * @throws Json.Malformed if a value that must be a number is not one
     */
    public static Settings read(Map<String, String> values) throws Json.Malformed {
        try {
            return new SettingsReader(values).settings();
        } catch (NumberFormatException e) {
            throw new Json.Malformed("not a number among the settings: " + e.getMessage());
        }
    }

    private Settings settings() {
        String prefix = "family-info.";
        SlowStartRule slowStart = new SlowStartRule(decimal("rules.cold-from", 1), micros("rules.cold-us"),
                decimal("rules.tip-multiple", 1), micros("rules.tip-after-us"));
        SlowStartRule parentSlowStart = new SlowStartRule(
                decimal(prefix + "parent-cold-from", slowStart.initialShare()),
                micros(prefix + "upper-cold-us"), decimal(prefix + "parent-limit-factor", slowStart.overloadMultiple()),
                slowStart.overloadWindowUs());
        return new Settings(integer("position", 0), integer("fleet-size", 1), integer("zone", 0), classes(),
                integers(prefix + "crew-by-zone"), integers(prefix + "attached-to"),
                integer(prefix + "upper-kind", -1),
                integer(prefix + "root-kind", -1), decimal(prefix + "pace-kb-per-s", 0),
                !"none".equals(values.getOrDefault("weight-source", "none")),
                enumValue(prefix + "peers-fill", SiblingScope.NONE, Map.of("none", SiblingScope.NONE, "location",
                        SiblingScope.LOCATION,
                        "any", SiblingScope.ANY)),
                enumValue(prefix + "says", CacheStatusDetail.NONE,
                        Map.of("none", CacheStatusDetail.NONE, "hit", CacheStatusDetail.HITS,
                                "all", CacheStatusDetail.ALL)),
                slowStart, parentSlowStart, micros("rules.drain-grace-us"), micros("rules.answer-slack-us"),
                micros(prefix + "notice-time-us"), micros(prefix + "purge-done-us"),
                micros("policy-limits.dial-timeout-us"), "on_request".equals(values.get("registry-mode")),
                micros("rules.must-ask-in-us"), decimal(prefix + "root-fall-multiple", 0),
                micros(prefix + "origin-fall-us"),
                number(item(list(prefix + "zone-link-kb-per-s"), integer("zone", 0)), 0), capabilities(prefix));
    }

    private HostCapabilities capabilities(String prefix) {
        String limits = "policy-limits.";
        return new HostCapabilities(bool(prefix + "straight"), bool(prefix + "shares-fills"),
                bool(limits + "cancelling"),
                bool(limits + "second-copies"), bool(limits + "probes"), bool(limits + "peers"),
                integer(limits + "max-attempts", Integer.MAX_VALUE), integer(limits + "max-open",
                        Integer.MAX_VALUE),
                bool(limits + "retry-after") ? micros(limits + "max-retry-after-us") : 0);
    }

    private List<RequestClass> classes() {
        String[] freshUs = list("family-info.class-fresh-us");
        String[] staleUsableUs = list("family-info.usable-after-us");
        String[] passThrough = list("family-info.goes-through");
        String[] inParts = list("family-info.in-parts");
        String[] staleValue = list("family-info.stale-earns");
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < integer("request-classes.count", 0); i++) {
            String prefix = "request-classes." + i + ".";
            classes.add(new RequestClass(micros(prefix + "aim-us"), decimal(prefix + "aim-stretch", 0),
                    micros(prefix + "deadline-us"), decimal(prefix + "value", 1), decimal(prefix + "late-worth", 0),
                    enumValue(prefix + "effect", Effect.AT_MOST_ONCE, Map.of("idempotent", Effect.IDEMPOTENT,
                            "deduplicated", Effect.DEDUPLICATED, "at_most_once", Effect.AT_MOST_ONCE)),
                    enumValue(prefix + "key-scope", KeyScope.CELL, Map.of("all", KeyScope.ALL, "zone", KeyScope.ZONE,
                            "cell", KeyScope.CELL)),
                    micros(prefix + "window-us"), bool(prefix + "stream"), item(passThrough, i).equals("true"),
                    item(inParts, i).equals("true"), (long) number(item(freshUs, i), 0),
                    (long) number(item(staleUsableUs, i), 0),
                    number(item(staleValue, i), 1)));
        }
        return classes;
    }

    private String[] list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",", -1);
    }

    /** Returns an item of a list by class; a list of one value applies to all classes. */
    private static String item(String[] list, int i) {
        return list.length == 0 ? "" : list[list.length == 1 ? 0 : Math.min(i, list.length - 1)];
    }

    private List<Integer> integers(String key) {
        List<Integer> result = new ArrayList<>();
        for (String value : list(key)) {
            result.add((int) number(value, 0));
        }
        return List.copyOf(result);
    }

    private <T> T enumValue(String key, T defaultValue, Map<String, T> constants) {
        return constants.getOrDefault(values.getOrDefault(key, ""), defaultValue);
    }

    private boolean bool(String key) {
        String value = values.getOrDefault(key, "false");
        return value.equals("true") || value.equals("1");
    }

    private int integer(String key, int defaultValue) {
        return (int) number(values.getOrDefault(key, ""), defaultValue);
    }

    private long micros(String key) {
        return (long) number(values.getOrDefault(key, ""), 0);
    }

    private double decimal(String key, double defaultValue) {
        return number(values.getOrDefault(key, ""), defaultValue);
    }

    private static double number(String value, double defaultValue) {
        return value.isEmpty() || value.equals("-") ? defaultValue : Double.parseDouble(value);
    }
}
