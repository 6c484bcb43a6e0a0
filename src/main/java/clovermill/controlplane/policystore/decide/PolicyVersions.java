package clovermill.controlplane.policystore.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The complete policy texts of a director by digest, and those that it is fetching part by part. Its size is bounded by
 * {@link #retain} and {@link #MAX_INCOMPLETE}. Not thread-safe.
 */
public final class PolicyVersions {

    /** The maximum number of incomplete texts. The oldest is dropped, and fetched again if requested. */
    static final int MAX_INCOMPLETE = 16;

    private final Map<String, PolicyDocument> complete = new HashMap<>();
    private final Map<String, String[]> incomplete = new LinkedHashMap<>();

    /** Adds a complete text. */
    public void add(PolicyDocument document) {
        complete.put(document.digest(), document);
        incomplete.remove(document.digest());
    }

    /** Returns the complete text with a digest, if present. */
    public Optional<PolicyDocument> find(String digest) {
        return Optional.ofNullable(complete.get(digest));
    }

    /** Returns the numbers of up to {@code limit} missing parts; an empty list once the text is complete. */
    public List<Integer> missingParts(String digest, int parts, int limit) {
        List<Integer> missing = new ArrayList<>();
        if (!complete.containsKey(digest) && parts > 0 && parts <= PolicyRegister.MAX_PARTS) {
            String[] received = incomplete.computeIfAbsent(digest, key -> new String[parts]);
            if (incomplete.size() > MAX_INCOMPLETE) {
                incomplete.remove(incomplete.keySet().iterator().next());
            }
            for (int i = 0; i < received.length && missing.size() < limit; i++) {
                if (received[i] == null) {
                    missing.add(i);
                }
            }
        }
        return missing;
    }

    /** Adds a part. An unrequested part is ignored; all parts are discarded if the text does not match the digest. */
    public void addPart(String digest, int number, String text) {
        String[] received = incomplete.get(digest);
        if (received == null || number < 0 || number >= received.length) {
            return;
        }
        received[number] = text;
        if (Arrays.stream(received).allMatch(Objects::nonNull)) {
            PolicyDocument document = PolicyDocument.of(String.join("", received));
            incomplete.remove(digest);
            if (document.digest().equals(digest)) {
                complete.put(digest, document);
            }
        }
    }

    /** Drops all texts except those with the given digests. */
    public void retain(List<String> digests) {
        complete.keySet().retainAll(digests);
        incomplete.keySet().retainAll(digests);
    }
}
