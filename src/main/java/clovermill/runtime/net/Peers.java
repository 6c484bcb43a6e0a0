package clovermill.runtime.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Parses the settings of subsystems that exchange datagrams with other directors: the addresses and the key that signs
 * the datagrams. An invalid value causes an {@link IllegalArgumentException} that names the field.
 */
public final class Peers {

    private static final int MIN_KEY_BYTES = 16;

    private Peers() {}

    /**
     * Parses a list of {@code address:port}; {@code at} is its path in the settings, such as {@code /fleet}.
     */
    public static List<InetSocketAddress> addresses(String at, List<String> directors) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String director : directors) {
            int colon = director.lastIndexOf(':');
            try {
                addresses.add(new InetSocketAddress(InetAddress.getByName(director.substring(0, colon)),
                        Integer.parseInt(director.substring(colon + 1))));
            } catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException bad) {
                throw new IllegalArgumentException(at + "/directors: " + director + " is no address:port");
            }
        }
        return addresses;
    }

    /** Reads a key of at least 16 bytes from a file of hex digits. */
    public static byte[] key(String at, String file) {
        byte[] key;
        try {
            key = HexFormat.of().parseHex(Files.readString(Path.of(file)).strip());
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " cannot be read");
        } catch (IllegalArgumentException bad) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " holds no hex digits");
        }
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " holds fewer than 16 bytes");
        }
        return key;
    }

    /** Returns an HMAC-SHA-256 (RFC 2104) with this key. */
    public static Mac mac(byte[] key) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            return mac;
        } catch (GeneralSecurityException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
