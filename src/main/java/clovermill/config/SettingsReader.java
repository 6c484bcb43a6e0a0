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
 * Makes the module's settings of pairs of path and value, as the simulator's wire and the configuration give
 * them; keys that are not known are passed over, those absent read as zero or false.
 */
public final class SettingsReader {

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads the settings; a value that should be a number and is none is reported as malformed. */
    public static Settings read(Map<String, String> values) throws Json.Malformed {
        try {
            return new SettingsReader(values).settings();
        } catch (NumberFormatException e) {
            throw new Json.Malformed("not a number among the settings: " + e.getMessage());
        }
    }

    private Settings settings() {
        String family = "family-info.";
        SlowStartRule slowStart = new SlowStartRule(decimal("rules.cold-from", 1), micros("rules.cold-us"),
                decimal("rules.tip-multiple", 1), micros("rules.tip-after-us"));
        SlowStartRule parentSlowStart = new SlowStartRule(
                decimal(family + "parent-cold-from", slowStart.initialShare()),
                micros(family + "upper-cold-us"), decimal(family + "parent-limit-factor", slowStart.overloadMultiple()),
                slowStart.overloadWindowUs());
        return new Settings(integer("position", 0), integer("fleet-size", 1), integer("zone", 0), classes(),
                wholes(family + "crew-by-zone"), wholes(family + "attached-to"),
                integer(family + "upper-kind", -1),
                integer(family + "root-kind", -1), decimal(family + "pace-kb-per-s", 0),
                !"none".equals(values.getOrDefault("weight-source", "none")),
                word(family + "peers-fill", SiblingScope.NONE, Map.of("none", SiblingScope.NONE, "location",
                        SiblingScope.LOCATION,
                        "any", SiblingScope.ANY)),
                word(family + "says", CacheStatusDetail.NONE,
                        Map.of("none", CacheStatusDetail.NONE, "hit", CacheStatusDetail.HITS,
                                "all", CacheStatusDetail.ALL)),
                slowStart, parentSlowStart, micros("rules.drain-grace-us"), micros("rules.answer-slack-us"),
                micros(family + "notice-time-us"), micros(family + "purge-done-us"),
                micros("policy-limits.dial-timeout-us"), "on_request".equals(values.get("registry-mode")),
                micros("rules.must-ask-in-us"), decimal(family + "root-fall-multiple", 0),
                micros(family + "origin-fall-us"),
                number(item(list(family + "zone-link-kb-per-s"), integer("zone", 0)), 0), capabilities(family));
    }

    private HostCapabilities capabilities(String family) {
        String limits = "policy-limits.";
        return new HostCapabilities(bool(family + "straight"), bool(family + "shares-fills"),
                bool(limits + "cancelling"),
                bool(limits + "second-copies"), bool(limits + "probes"), bool(limits + "peers"),
                integer(limits + "max-attempts", Integer.MAX_VALUE), integer(limits + "max-open",
                        Integer.MAX_VALUE),
                bool(limits + "retry-after") ? micros(limits + "max-retry-after-us") : 0);
    }

    private List<RequestClass> classes() {
        String[] fresh = list("family-info.class-fresh-us");
        String[] after = list("family-info.usable-after-us");
        String[] through = list("family-info.goes-through");
        String[] parts = list("family-info.in-parts");
        String[] stale = list("family-info.stale-earns");
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < integer("request-classes.count", 0); i++) {
            String at = "request-classes." + i + ".";
            classes.add(new RequestClass(micros(at + "aim-us"), decimal(at + "aim-stretch", 0),
                    micros(at + "deadline-us"), decimal(at + "value", 1), decimal(at + "late-worth", 0),
                    word(at + "effect", Effect.AT_MOST_ONCE, Map.of("idempotent", Effect.IDEMPOTENT,
                            "deduplicated", Effect.DEDUPLICATED, "at_most_once", Effect.AT_MOST_ONCE)),
                    word(at + "key-scope", KeyScope.CELL, Map.of("all", KeyScope.ALL, "zone", KeyScope.ZONE,
                            "cell", KeyScope.CELL)),
                    micros(at + "window-us"), bool(at + "stream"), item(through, i).equals("true"),
                    item(parts, i).equals("true"), (long) number(item(fresh, i), 0),
                    (long) number(item(after, i), 0),
                    number(item(stale, i), 1)));
        }
        return classes;
    }

    private String[] list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() || value.equals("-") ? new String[0] : value.split(",", -1);
    }

    /** An item of a list by class; one value may stand for all classes. */
    private static String item(String[] list, int i) {
        return list.length == 0 ? "" : list[list.length == 1 ? 0 : Math.min(i, list.length - 1)];
    }

    private List<Integer> wholes(String key) {
        List<Integer> result = new ArrayList<>();
        for (String value : list(key)) {
            result.add((int) number(value, 0));
        }
        return List.copyOf(result);
    }

    private <T> T word(String key, T absent, Map<String, T> words) {
        return words.getOrDefault(values.getOrDefault(key, ""), absent);
    }

    private boolean bool(String key) {
        String value = values.getOrDefault(key, "false");
        return value.equals("true") || value.equals("1");
    }

    private int integer(String key, int absent) {
        return (int) number(values.getOrDefault(key, ""), absent);
    }

    private long micros(String key) {
        return (long) number(values.getOrDefault(key, ""), 0);
    }

    private double decimal(String key, double absent) {
        return number(values.getOrDefault(key, ""), absent);
    }

    private static double number(String value, double absent) {
        return value.isEmpty() || value.equals("-") ? absent : Double.parseDouble(value);
    }
}
