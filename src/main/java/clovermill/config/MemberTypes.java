package clovermill.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members of a configuration and their types. A reloaded configuration that lacks any of them is taken for
 * incomplete, even if the value would have a default at startup, and one with a member of another type is invalid. A
 * class whose effect changes may have other members: a window, for example, is given only if repeated requests are
 * deduplicated.
 *
 * @param byPath the types of the members of objects, by path
 * @param commonToClasses the types of the members that all request classes have
 * @param byClass the types of the members of each request class, by the class's name and effect
 */
record MemberTypes(Map<String, String> byPath, Map<String, String> commonToClasses,
        Map<String, Map<String, String>> byClass) {

    private static final String CLASSES = "settings.request-classes";

    /** Returns the member types of a whole configuration; members that are null count as missing. */
    static MemberTypes of(Map<?, ?> root) {
        Map<String, String> byPath = new TreeMap<>();
        collect("", root, byPath);
        List<Map<?, ?>> classes = classes(root);
        return new MemberTypes(byPath, common(classes), byNameAndEffect(classes));
    }

    private static Map<String, Map<String, String>> byNameAndEffect(List<Map<?, ?>> classes) {
        Map<String, Map<String, String>> result = new TreeMap<>();
        for (Map<?, ?> each : classes) {
            Map<String, String> members = new TreeMap<>();
            collect("", each, members);
            result.put(each.get("name") + " (" + each.get("effect") + ")", members);
        }
        return result;
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
                ? "a number" : value instanceof Boolean ? "true or false" : "a string";
    }

    private static List<Map<?, ?>> classes(Map<?, ?> root) {
        List<Map<?, ?>> result = new ArrayList<>();
        if (root.get("settings") instanceof Map<?, ?> settings
                && settings.get("request-classes") instanceof List<?> list) {
            for (Object each : list) {
                if (each instanceof Map<?, ?> one) {
                    result.add(one);
                }
            }
        }
        return result;
    }

    /** Returns the members that all classes have with the same type. */
    private static Map<String, String> common(List<Map<?, ?>> classes) {
        Map<String, String> result = new TreeMap<>();
        for (int i = 0; i < classes.size(); i++) {
            Map<String, String> members = new TreeMap<>();
            collect("", classes.get(i), members);
            if (i == 0) {
                result.putAll(members);
            } else {
                result.entrySet().retainAll(members.entrySet());
            }
        }
        return result;
    }

    /**
     * Checks that a later configuration has all of these members.
     *
     * @throws Json.Malformed naming the first member that {@code next} lacks or has with another type
     */
    void check(MemberTypes next) throws Json.Malformed {
        check("", byPath, next.byPath);
        check(CLASSES + ".", commonToClasses, next.commonToClasses);
        for (Map.Entry<String, Map<String, String>> known : byClass.entrySet()) {
            Map<String, String> present = next.byClass.get(known.getKey());
            if (present != null) {
                check(CLASSES + ": " + known.getKey() + ": ", known.getValue(), present);
            }
        }
    }

    private static void check(String at, Map<String, String> needed, Map<String, String> present)
            throws Json.Malformed {
        for (Map.Entry<String, String> member : needed.entrySet()) {
            String type = present.get(member.getKey());
            if (!member.getValue().equals(type)) {
                throw new Json.Malformed(at + member.getKey() + ": "
                        + (type == null ? "missing" : member.getValue() + " was expected"));
            }
        }
    }
}
