package clovermill.fleet;

import clovermill.fleet.decide.FleetMember;
import clovermill.fleet.decide.LeasedRate;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The fleet's part of our settings: the addresses of all directors in the same order everywhere, which of them this
 * one is, the key, how often they talk, and the limits. What is absent has its default.
 */
public record FleetSettings(List<String> directors, int self, @JsonProperty("key_file") String keyFile,
        @JsonProperty("interval_ms") Long intervalMs, Integer fanout, @JsonProperty("term_ms") Long termMs,
        @JsonProperty("burst_ms") Long burstMs, Double drift, List<Limit> limits) {

    /** A limit on all directors together, for one class or, where that is absent, for every request. */
    public record Limit(String name, @JsonProperty("class") String requestClass,
            @JsonProperty("per_second") double perSecond) { }

    private static final int LEAST_KEY = 16;
    private static final long MOST_TERM_MS = 60_000;

    /** Checks what no schema can; an {@link IllegalArgumentException} says which field and why. */
    public void check(List<String> classes) {
        if (directors == null || directors.size() < 2 || self < 0 || self >= directors.size()) {
            throw new IllegalArgumentException("/fleet/self: " + self + " is no place among the directors");
        }
        addresses();
        key();
        for (Limit limit : limits()) {
            if (classes != null && limit.requestClass != null && !classes.contains(limit.requestClass)) {
                throw new IllegalArgumentException("/fleet/limits: " + limit.name + ": no class is called "
                        + limit.requestClass);
            }
            if (!(limit.perSecond > 0)) {
                throw new IllegalArgumentException("/fleet/limits: " + limit.name + ": per_second has to be above 0");
            }
        }
        long term = termMs == null ? 2000 : termMs;
        if (term > MOST_TERM_MS || term < 2 * interval()) {
            throw new IllegalArgumentException("/fleet/term_ms: " + term + " is under two intervals, or over a minute");
        }
    }

    @Override
    public List<Limit> limits() {
        return limits == null ? List.of() : limits;
    }

    private long interval() {
        return intervalMs == null ? 200 : intervalMs;
    }

    FleetMember.Place place() {
        return new FleetMember.Place(self, directors.size(), interval() * 1000, fanout == null ? 4 : fanout);
    }

    List<LeasedRate.Terms> terms() {
        return limits().stream().map(limit -> new LeasedRate.Terms(limit.perSecond, directors.size(),
                (burstMs == null ? 100 : burstMs) / 1000.0, (termMs == null ? 2000 : termMs) * 1000,
                drift == null ? 0.01 : drift)).toList();
    }

    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String each : directors) {
            int cut = each.lastIndexOf(':');
            try {
                all.add(new InetSocketAddress(InetAddress.getByName(each.substring(0, cut)),
                        Integer.parseInt(each.substring(cut + 1))));
            } catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException bad) {
                throw new IllegalArgumentException("/fleet/directors: " + each + " is no address:port");
            }
        }
        return all;
    }

    /** The key: hex digits in a file, 16 bytes at least. */
    byte[] key() {
        try {
            byte[] key = HexFormat.of().parseHex(Files.readString(Path.of(keyFile)).strip());
            if (key.length < LEAST_KEY) {
                throw new IllegalArgumentException("/fleet/key_file: " + keyFile + " holds fewer than 16 bytes");
            }
            return key;
        } catch (IOException unreadable) {
            throw new IllegalArgumentException("/fleet/key_file: " + keyFile + " cannot be read");
        } catch (IllegalArgumentException bad) {
            throw bad.getMessage().startsWith("/fleet") ? bad
                    : new IllegalArgumentException("/fleet/key_file: " + keyFile + " holds no hex digits");
        }
    }
}
