package standins2;

/** The configuration of a small deployment: one location with its caches, one hub with a parent and the origin. */
public final class Settings {

    /** The class of the orders in the cases that ask for pages only. */
    public static final String ORDER = "{\"name\":\"order\",\"aim-us\":800000,\"deadline-us\":3000000,"
            + "\"effect\":\"deduplicated\",\"key-scope\":\"all\",\"window-us\":3000000,\"value\":3.0,"
            + "\"late-worth\":0.0}";

    private Settings() {}

    /** Returns the entry of a cache of the location, a parent or the origin, by its id. */
    public static String member(Server server, String state) {
        return switch (server.id.charAt(0)) {
            case 's' -> member(server.id, server.address, "edge", "std", server.id.charAt(2) - '0', state, 60, 0);
            case 'p' -> member(server.id, server.address, "north", "parent", 10, state, 200, 0);
            default -> member(server.id, server.address, "north", "origin", 11, state, 1, 0);
        };
    }

    /** Returns an entry of a list of caches. */
    public static String member(String id, String address, String zone, String kind, int cell, String state,
            int weight, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                + "\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":" + weight + ",\"started_ms\":"
                + startedMs + "}";
    }

    /** Returns an event of the command channel with entries of the list. */
    public static String nodes(int version, boolean full, String... members) {
        return "\"nodes\":{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", members)
                + "]}";
    }

    /**
     * Returns a configuration; {@code $LISTEN} stands for its address.
     *
     * @param order the request class of the orders, as JSON
     */
    public static String configuration(String channel, String known, String order) {
        return "{\"name\":\"n1\",\"listen\":\"$LISTEN\",\"seed\":\"" + Kit.hex(16) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"channel\":\"" + channel + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + "\"known\":" + known + ","
                + "\"settings\":{\"position\":0,\"fleet-size\":1,\"zone\":1,\"zones\":[\"north\",\"edge\"],"
                + "\"kinds\":[\"std\",\"parent\",\"origin\"],\"registry-mode\":\"pushed\",\"weight-source\":\"rough\","
                + "\"family-info\":{\"attached-to\":[0,0],\"crew-by-zone\":[0,1],"
                + "\"class-fresh-us\":[0,20000000,0],\"usable-after-us\":[0,20000000,0],"
                + "\"goes-through\":[false,false,true],\"in-parts\":[true,false,false],\"pace-kb-per-s\":5000.0,"
                + "\"parent-cold-from\":0.081,\"parent-limit-factor\":2.0,\"upper-cold-us\":22000000,"
                + "\"peers-fill\":\"location\",\"says\":\"all\",\"shares-fills\":true,\"straight\":true,"
                + "\"upper-kind\":1,\"root-kind\":2,\"notice-time-us\":1000000,\"purge-done-us\":6000000,"
                + "\"stale-earns\":[0.7,0.7,0.7]},"
                + "\"policy-limits\":{\"cancelling\":true,\"conn-idle-us\":30000000,\"dial-timeout-us\":400000,"
                + "\"max-attempts\":8,\"max-open\":20956,\"max-retry-after-us\":500000,\"retry-after\":true,"
                + "\"second-copies\":true,\"streams-per-conn\":100},"
                + "\"rules\":{\"answer-slack-us\":8000,\"cold-from\":0.18,\"cold-us\":17000000,"
                + "\"drain-grace-us\":500000,\"tip-after-us\":3000000,\"tip-multiple\":3.0},"
                + "\"request-classes\":["
                + "{\"name\":\"video\",\"aim-us\":400000,\"aim-stretch\":2.0,\"deadline-us\":6000000,"
                + "\"effect\":\"idempotent\",\"value\":2.0,\"late-worth\":0.15},"
                + "{\"name\":\"page\",\"aim-us\":300000,\"aim-stretch\":2.0,\"deadline-us\":3000000,"
                + "\"effect\":\"idempotent\",\"value\":1.0,\"late-worth\":0.2}," + order + "]}}";
    }
}
