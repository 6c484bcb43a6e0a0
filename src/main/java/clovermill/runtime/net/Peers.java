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
 * What directors that talk over UDP have in their settings: one another's addresses, and the key by which they sign.
 * What cannot be used is an {@link IllegalArgumentException} that names the field.
 */
public final class Peers {

    private static final int LEAST_KEY = 16;

    private Peers() {}

    /**
     * The addresses of a list of {@code address:port} that stands at a place of the settings, such as {@code /fleet}.
     */
    public static List<InetSocketAddress> addresses(String at, List<String> directors) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String each : directors) {
            int cut = each.lastIndexOf(':');
            try {
                all.add(new InetSocketAddress(InetAddress.getByName(each.substring(0, cut)),
                        Integer.parseInt(each.substring(cut + 1))));
            } catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException bad) {
                throw new IllegalArgumentException(at + "/directors: " + each + " is no address:port");
            }
        }
        return all;
    }

    /** The key that a file holds: hex digits, 16 bytes at least. */
    public static byte[] key(String at, String file) {
        byte[] key;
        try {
            key = HexFormat.of().parseHex(Files.readString(Path.of(file)).strip());
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " cannot be read");
        } catch (IllegalArgumentException bad) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " holds no hex digits");
        }
        if (key.length < LEAST_KEY) {
            throw new IllegalArgumentException(at + "/key_file: " + file + " holds fewer than 16 bytes");
        }
        return key;
    }

    /** HMAC-SHA-256 (RFC 2104) by a key. */
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
