package clovermill.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The members of one request class and their types. Which members a class must have follows from the operators'
 * settings page, and from the classes of the configuration with which the process was started, as a deployment may
 * write fewer.
 *
 * @param name the name of the class
 * @param effect the effect of its requests
 * @param types the types of its members, by name
 */
record ClassMembers(String name, String effect, Map<String, String> types) {

    private static final String DEDUPLICATED = "deduplicated";
    /** Members that any class may leave out. */
    private static final Map<String, String> OPTIONAL = Map.of("aim-stretch", MemberTypes.NUMBER);
    /** Members that have a meaning only if repeated requests are deduplicated. */
    private static final Map<String, String> OF_DEDUPLICATION =
            Map.of("key-scope", MemberTypes.STRING, "window-us", MemberTypes.NUMBER);
    /** All other members that the settings page names. */
    private static final Set<String> NAMED =
            Set.of("aim-us", "deadline-us", "effect", "late-worth", "name", "stream", "value");

    /**
     * Checks that this class of a reloaded configuration is complete.
     *
     * @param path the path of the request classes, for the message
     * @param initial the classes with which the process was started
     * @throws Json.Malformed naming the first member that is missing or has another type
     */
    void check(String path, List<ClassMembers> initial) throws Json.Malformed {
        String at = path + ": " + name + " (" + effect + "): ";
        MemberTypes.checkOptional(at, OPTIONAL, types);
        MemberTypes.checkRequired(at, requiredOfNewClass(initial), types);
        for (ClassMembers known : initial) {
            if (known.name.equals(name) && known.effect.equals(effect)) {
                MemberTypes.checkRequired(at, MemberTypes.without(known.types, OPTIONAL), types);
            }
        }
    }

    /** Returns the members that a class of this effect must have even if the process was started without it. */
    private Map<String, String> requiredOfNewClass(List<ClassMembers> initial) {
        List<ClassMembers> alike = initial.stream().filter(each -> each.isDeduplicated() == isDeduplicated()).toList();
        Map<String, String> required = common(alike.isEmpty() ? initial : alike);
        required.keySet().removeIf(member -> !NAMED.contains(member) && !OF_DEDUPLICATION.containsKey(member));
        if (alike.isEmpty() && isDeduplicated()) {
            required.putAll(OF_DEDUPLICATION);
        } else if (alike.isEmpty()) {
            required.keySet().removeAll(OF_DEDUPLICATION.keySet());
        }
        return required;
    }

    private boolean isDeduplicated() {
        return effect.equals(DEDUPLICATED);
    }

    /** Returns the members that all classes have with the same type. */
    private static Map<String, String> common(List<ClassMembers> classes) {
        Map<String, String> result = new TreeMap<>();
        for (int i = 0; i < classes.size(); i++) {
            if (i == 0) {
                result.putAll(classes.get(i).types);
            } else {
                result.entrySet().retainAll(classes.get(i).types.entrySet());
            }
        }
        return result;
    }
}
