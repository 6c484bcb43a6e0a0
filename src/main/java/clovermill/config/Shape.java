package clovermill.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which members a configuration has: those of its objects by path, and those that all of its classes of requests have.
 * A later one that lacks any of them is incomplete, even where the value would have a default at a start.
 */
record Shape(Set<String> paths, Set<String> ofEachClass) {

    private static final String CLASSES = "settings.request-classes";

    /** The shape of a whole configuration; members that are null count as missing. */
    static Shape of(Map<?, ?> root) {
        Set<String> paths = new TreeSet<>();
        collect("", root, paths);
        return new Shape(paths, common(classes(root)));
    }

    private static void collect(String path, Map<?, ?> object, Set<String> paths) {
        object.forEach((name, value) -> {
            String at = path.isEmpty() ? "" + name : path + "." + name;
            if (value != null) {
                paths.add(at);
            }
            if (value instanceof Map<?, ?> inner) {
                collect(at, inner, paths);
            }
        });
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

    private static Set<String> common(List<Map<?, ?>> classes) {
        Set<String> result = new TreeSet<>();
        for (int i = 0; i < classes.size(); i++) {
            Set<String> names = new HashSet<>();
            collect("", classes.get(i), names);
            if (i == 0) {
                result.addAll(names);
            } else {
                result.retainAll(names);
            }
        }
        return result;
    }

    /** @throws Json.Malformed naming the first member that {@code next} lacks */
    void check(Shape next) throws Json.Malformed {
        lacks("", paths, next.paths);
        lacks(CLASSES + ".", ofEachClass, next.ofEachClass);
    }

    private static void lacks(String at, Set<String> needed, Set<String> present) throws Json.Malformed {
        for (String path : needed) {
            if (!present.contains(path)) {
                throw new Json.Malformed(at + path + ": missing");
            }
        }
    }
}
