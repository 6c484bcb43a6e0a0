package clovermill.controlplane.policystore.decide;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The text of a policy, in ASCII; {@code digest} is its SHA-256 in hex digits, by which everybody names it. */
public record PolicyDocument(String digest, String text) {

    /** The empty policy, which binds nothing. */
    public static final PolicyDocument EMPTY = of("{}");

    /** Letters of a part, as texts go through datagrams and the log. */
    public static final int PART = 900;

    /** The text in parts of up to {@link #PART} letters. */
    public List<String> parts() {
        List<String> parts = new ArrayList<>();
        for (int at = 0; at < text.length(); at += PART) {
            parts.add(text.substring(at, Math.min(text.length(), at + PART)));
        }
        return parts;
    }

    /** The document of a text. */
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
