package clovermill.controlplane.policystore.decide;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The text of a policy, in ASCII.
 *
 * @param digest its SHA-256 in hex digits, which names the text in messages and in the log
 */
public record PolicyDocument(String digest, String text) {

    /** The empty policy, which restricts nothing. */
    public static final PolicyDocument EMPTY = of("{}");

    /** Characters of a part, so that one fits a datagram and a log entry. */
    public static final int PART_CHARS = 900;

    /** The text in parts of up to {@link #PART_CHARS} characters. */
    public List<String> parts() {
        List<String> parts = new ArrayList<>();
        for (int start = 0; start < text.length(); start += PART_CHARS) {
            parts.add(text.substring(start, Math.min(text.length(), start + PART_CHARS)));
        }
        return parts;
    }

    /** The document of an ASCII text. */
    public static PolicyDocument of(String text) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            for (int i = 0; i < text.length(); i++) {
                sha.update((byte) text.charAt(i));
            }
            return new PolicyDocument(HexFormat.of().formatHex(sha.digest()), text);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
