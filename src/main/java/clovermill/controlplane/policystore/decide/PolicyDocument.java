package clovermill.controlplane.policystore.decide;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The text of a policy, in ASCII.
 *
 * @param digest the SHA-256 of the text in hexadecimal, which identifies it in messages and in the log
 */
public record PolicyDocument(String digest, String text) {

    /** The empty policy, which contains no restrictions. */
    public static final PolicyDocument EMPTY = of("{}");

    /** The maximum number of characters in a part, chosen so that a part fits into a datagram and a log entry. */
    public static final int PART_CHARS = 900;

    /** Returns the text in parts of up to {@link #PART_CHARS} characters. */
    public List<String> parts() {
        List<String> parts = new ArrayList<>();
        for (int start = 0; start < text.length(); start += PART_CHARS) {
            parts.add(text.substring(start, Math.min(text.length(), start + PART_CHARS)));
        }
        return parts;
    }

    /** Creates the document of an ASCII text. */
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
