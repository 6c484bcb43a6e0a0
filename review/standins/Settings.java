import java.util.ArrayList;
import java.util.List;

/** The configuration of a small deployment, as the platform writes it. */
final class Settings {

    static final String VIDEO = "{\"aim-stretch\":2.0,\"aim-us\":400000,\"deadline-us\":6000000,"
            + "\"effect\":\"idempotent\",\"key-scope\":\"all\",\"late-worth\":0.15,\"name\":\"guide-video\","
            + "\"stream\":false,\"value\":2.0,\"window-us\":5000000}";
    static final String PAGE = "{\"aim-stretch\":2.0,\"aim-us\":300000,\"deadline-us\":3000000,"
            + "\"effect\":\"idempotent\",\"key-scope\":\"all\",\"late-worth\":0.2,\"name\":\"page-asset\","
            + "\"stream\":false,\"value\":1.0,\"window-us\":5000000}";
    static final String ORDER = "{\"aim-us\":800000,\"deadline-us\":3000000,\"effect\":\"deduplicated\","
            + "\"key-scope\":\"all\",\"late-worth\":0.0,\"name\":\"skip-order\",\"stream\":false,\"value\":3.0,"
            + "\"window-us\":3000000}";

    /** The classes of requests, and by class how long a copy is fresh and whether it runs at the origin. */
    List<String> classes = List.of(VIDEO, PAGE, ORDER);
    String freshUs = "0,20000000,0";
    String usableUs = "0,20000000,0";
    String goesThrough = "false,false,true";
    String inParts = "true,false,false";
    String staleWorth = "0.7,0.7,0.7";

    /** Zones: one hub, and depots numbered from 1; this director stands in depot 1. */
    int depots = 1;
    int directors = 3;
    double paceKbPerS = 9900;
    double linkKbPerS = 150_000;
    int drainGraceMs = 500;
    int sockets = 1024;
    double hubColdFrom = 0.081;
    long hubColdMs = 22_000;
    int position;

    static String node(String id, int port, String zone, String kind, int cell, String state, double weight,
            long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                + "\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":" + weight + ",\"started_ms\":"
                + startedMs + "}";
    }

    static String nodes(int version, boolean full, List<String> servers) {
        return "\"nodes\":{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", servers)
                + "]}";
    }

    String config(String name, int port, int admin, int channel, String known) {
        List<String> zones = new ArrayList<>(List.of("\"north\""));
        List<String> crew = new ArrayList<>(List.of("0"));
        List<String> attached = new ArrayList<>(List.of("0"));
        List<String> links = new ArrayList<>(List.of("0.0"));
        for (int i = 1; i <= depots; i++) {
            zones.add("\"depot-" + i + "\"");
            crew.add("" + (directors + depots - i) / depots);
            attached.add("0");
            links.add("" + linkKbPerS);
        }
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"admin\":\"127.0.0.1:" + admin
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\n \"channel\":\"127.0.0.1:" + channel + "\",\"flow_bytes_per_s\":310000,"
                + "\"link_bytes_per_s\":1240000,\n \"known\":" + known + ",\n \"settings\":{"
                + "\"client-habits\":{\"marks-retry\":true},\"family-info\":{\"attached-to\":[" + String.join(",", attached)
                + "],\"byte-fee\":0.04,\"class-fresh-us\":[" + freshUs + "],\"crew-by-zone\":[" + String.join(",", crew)
                + "],\"goes-through\":[" + goesThrough + "],\"in-parts\":[" + inParts + "],\"notice-time-us\":1000000,"
                + "\"origin-fall-us\":3000000,\"pace-kb-per-s\":" + paceKbPerS + ",\"parent-cold-from\":" + hubColdFrom
                + ",\"parent-limit-factor\":2.0,\"peers-fill\":\"location\",\"purge-done-us\":6000000,"
                + "\"root-fall-multiple\":2.5,\"root-kind\":2,\"says\":\"all\",\"shares-fills\":true,"
                + "\"stale-earns\":[" + staleWorth + "],\"straight\":true,\"upper-cold-us\":" + hubColdMs * 1000
                + ",\"upper-kind\":1,\"usable-after-us\":[" + usableUs + "],\"zone-link-kb-per-s\":["
                + String.join(",", links) + "]},\"feedback\":{\"how\":\"none\",\"names\":[]},\"fleet-size\":" + directors
                + ",\"kinds\":[\"standard\",\"parent\",\"origin\"],\"layer\":0,\"over-share-worth\":0.1,"
                + "\"policy-limits\":{\"cancelling\":true,\"conn-idle-us\":30000000,\"cpu-us-per-request\":0.0,"
                + "\"cpu-us-per-s\":523903,\"dial-timeout-us\":400000,\"max-attempts\":8,\"max-open\":20956,"
                + "\"max-retry-after-us\":500000,\"peers\":false,\"probes\":true,\"retry-after\":true,"
                + "\"second-copies\":true,\"streams-per-conn\":100},\"position\":" + position + ",\"registry-mode\":\"pushed\","
                + "\"request-classes\":[" + String.join(",", classes) + "],"
                + "\"rules\":{\"answer-slack-us\":8000,\"cold-from\":0.18,\"cold-us\":17000000,\"drain-grace-us\":"
                + drainGraceMs * 1000 + ",\"must-ask-in-us\":10000000,\"tip-after-us\":3000000,\"tip-multiple\":3.0},"
                + "\"service-type\":\"edge\",\"tenants\":[],\"tick-us\":2000,\"tiers\":[\"depot-cache\"],"
                + "\"value-by\":\"request\",\"weight-source\":\"rough\",\"zone\":1,\"zones\":["
                + String.join(",", zones) + "]}}\n";
    }
}
