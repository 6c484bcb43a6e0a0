package clovermill.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members of a configuration and their types, by which an incomplete configuration is recognised: reading alone
 * cannot tell that a member is missing, as a default takes its place. A reloaded configuration must have the members of
 * the one with which the process was started, except those that the operators' settings page lets any configuration
 * leave out. The configuration in force is no measure: it may have optional members by chance, and a configuration that
 * was valid once stays valid whatever has been applied since.
 *
 * @param byPath the types of the members of objects, by path
 * @param classes the members of the request classes
 */
record MemberTypes(Map<String, String> byPath, List<ClassMembers> classes) {

    static final String NUMBER = "a number";
    static final String STRING = "a string";

    private static final String CLASSES = "settings.request-classes";
    /** Members that any configuration may leave out. */
    private static final Map<String, String> OPTIONAL = Map.of("settings.tariffs.fleet", NUMBER);

    /** Returns the member types of a whole configuration; members that are null count as missing. */
    static MemberTypes of(Map<?, ?> root) {
        return new MemberTypes(collect(root), classes(root));
    }

    private static Map<String, String> collect(Map<?, ?> object) {
        Map<String, String> byPath = new TreeMap<>();
        collect("", object, byPath);
        return byPath;
    }

    private static void collect(String path, Map<?, ?> object, Map<String, String> byPath) {
        object.forEach((name, value) -> {
            String at = path.isEmpty() ? "" + name : path + "." + name;
            if (value != null) {
                byPath.put(at, type(value));
            }
            if (value instanceof Map<?, ?> inner) {
                collect(at, inner, byPath);
            }
        });
    }

    private static String type(Object value) {
        return value instanceof Map ? "an object" : value instanceof List ? "a list" : value instanceof Double
                ? NUMBER : value instanceof Boolean ? "true or false" : STRING;
    }

    private static List<ClassMembers> classes(Map<?, ?> root) {
        List<ClassMembers> result = new ArrayList<>();
        if (root.get("settings") instanceof Map<?, ?> settings
                && settings.get("request-classes") instanceof List<?> list) {
            for (Object each : list) {
                if (each instanceof Map<?, ?> one) {
                    result.add(new ClassMembers("" + one.get("name"), "" + one.get("effect"), collect(one)));
                }
            }
        }
        return result;
    }

    /**
     * Checks that a later configuration is complete, given that these are the members with which the process was
     * started.
     *
     * @throws Json.Malformed naming the first member that {@code next} lacks or has with another type
     */
    void check(MemberTypes next) throws Json.Malformed {
        checkRequired("", without(byPath, OPTIONAL), next.byPath);
        checkOptional("", OPTIONAL, next.byPath);
        for (ClassMembers each : next.classes) {
            each.check(CLASSES, classes);
        }
    }

    /** Returns a copy of {@code types} without the members named in {@code excluded}. */
    static Map<String, String> without(Map<String, String> types, Map<String, String> excluded) {
        Map<String, String> result = new TreeMap<>(types);
        result.keySet().removeAll(excluded.keySet());
        return result;
    }

    /** Checks that all members are present with these types; {@code at} begins the message. */
    static void checkRequired(String at, Map<String, String> required, Map<String, String> present)
            throws Json.Malformed {
        for (Map.Entry<String, String> member : required.entrySet()) {
            if (!present.containsKey(member.getKey())) {
                throw new Json.Malformed(at + member.getKey() + ": missing");
            }
        }
        checkOptional(at, required, present);
    }

    /** Checks that the members that are present have these types; {@code at} begins the message. */
    static void checkOptional(String at, Map<String, String> optional, Map<String, String> present)
            throws Json.Malformed {
        for (Map.Entry<String, String> member : optional.entrySet()) {
            String type = present.get(member.getKey());
            if (type != null && !type.equals(member.getValue())) {
                throw new Json.Malformed(at + member.getKey() + ": " + member.getValue() + " was expected");
            }
        }
    }
}
