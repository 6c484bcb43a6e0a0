package clovermill.controlplane.policystore.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The texts that a director has, and those that it is getting part by part. Bounded: what is not asked for any more is
 * forgotten by {@link #keep}. Not thread-safe.
 */
public final class PolicyVersions {

    /** Of more texts that are still being got, the one begun first is forgotten, and got anew if it is asked for. */
    static final int MOST_INCOMPLETE = 16;

    private final Map<String, PolicyDocument> whole = new HashMap<>();
    private final Map<String, String[]> incomplete = new LinkedHashMap<>();

    /** Takes a whole text in. */
    public void add(PolicyDocument document) {
        whole.put(document.digest(), document);
        incomplete.remove(document.digest());
    }

    /** The whole text, or null. */
    public PolicyDocument get(String digest) {
        return whole.get(digest);
    }

    /** Which parts of a text are to be asked for next, at most so many; none once it is whole. */
    public List<Integer> wanted(String digest, int parts, int most) {
        List<Integer> wanted = new ArrayList<>();
        if (!whole.containsKey(digest) && parts > 0 && parts <= PolicyRegister.MOST_PARTS) {
            String[] have = incomplete.computeIfAbsent(digest, key -> new String[parts]);
            if (incomplete.size() > MOST_INCOMPLETE) {
                incomplete.remove(incomplete.keySet().iterator().next());
            }
            for (int i = 0; i < have.length && wanted.size() < most; i++) {
                if (have[i] == null) {
                    wanted.add(i);
                }
            }
        }
        return wanted;
    }

    /** Takes a part; one that nobody asked for, or that makes a text with another digest, is passed over. */
    public void part(String digest, int number, String text) {
        String[] have = incomplete.get(digest);
        if (have == null || number < 0 || number >= have.length) {
            return;
        }
        have[number] = text;
        if (Arrays.stream(have).allMatch(each -> each != null)) {
            PolicyDocument document = PolicyDocument.of(String.join("", have));
            incomplete.remove(digest);
            if (document.digest().equals(digest)) {
                whole.put(digest, document);
            }
        }
    }

    /** Forgets all texts but these. */
    public void keep(List<String> digests) {
        whole.keySet().retainAll(digests);
        incomplete.keySet().retainAll(digests);
    }
}
