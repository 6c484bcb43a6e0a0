package clovermill.accord;

import clovermill.accord.decide.Terms;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;

/**
 * The accord's part of our settings: the addresses of all directors in the same order everywhere, which of them this
 * one is, which vote, the key, a folder that lasts for those that vote, and the figures. What is absent has its
 * default.
 */
public record AccordSettings(List<String> directors, int self, List<Integer> voters,
        @JsonProperty("key_file") String keyFile, String folder, @JsonProperty("lease_ms") Long leaseMs,
        @JsonProperty("ask_ms") Long askMs, Double drift, @JsonProperty("without_lease") String withoutLease) {

    private static final int LEAST_KEY = 16;
    private static final List<Integer> GROUPS = List.of(3, 5, 7);

    /** Checks what no schema can; an {@link IllegalArgumentException} says which field and why. */
    public void check() {
        if (directors == null || directors.size() < 3 || self < 0 || self >= directors.size()) {
            throw new IllegalArgumentException("/accord/self: " + self + " is no place among the directors");
        }
        if (!GROUPS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size()
                || voters.stream().anyMatch(each -> each < 0 || each >= directors.size())) {
            throw new IllegalArgumentException("/accord/voters: 3, 5 or 7 different directors are wanted");
        }
        if (votes() && folder == null) {
            throw new IllegalArgumentException("/accord/folder: a voter needs a folder that lasts");
        }
        if (terms().leaseUs() < 3 * terms().askUs()) {
            throw new IllegalArgumentException(
                    "/accord/lease_ms: three times ask_ms at least, or a lost question ends a lease");
        }
        addresses();
        key();
    }

    /** Whether this director votes. */
    boolean votes() {
        return voters.contains(self);
    }

    /** Whether nothing at all is served without a lease. */
    public boolean allBound() {
        return "refuse".equals(withoutLease);
    }

    Terms terms() {
        return new Terms(directors.size(), (leaseMs == null ? 10_000 : leaseMs) * 1000, (askMs == null ? 1000 : askMs)
                * 1000, drift == null ? 0.01 : drift);
    }

    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String each : directors) {
            int cut = each.lastIndexOf(':');
            try {
                all.add(new InetSocketAddress(InetAddress.getByName(each.substring(0, cut)),
                        Integer.parseInt(each.substring(cut + 1))));
            } catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException bad) {
                throw new IllegalArgumentException("/accord/directors: " + each + " is no address:port");
            }
        }
        return all;
    }

    /** The key: hex digits in a file, 16 bytes at least. */
    byte[] key() {
        try {
            byte[] key = HexFormat.of().parseHex(Files.readString(Path.of(keyFile)).strip());
            if (key.length >= LEAST_KEY) {
                return key;
            }
        } catch (IOException | IllegalArgumentException unusable) {
            // told below
        }
        throw new IllegalArgumentException("/accord/key_file: " + keyFile
                + " does not hold 16 bytes or more in hex digits");
    }
}
