package clovermill.prove;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The long proof of the one policy with processes ({@code make prove-accord}): directors with clients, stand-in caches,
 * and links that lose, delay and cut each way; they are killed and stopped while operators change the policy at any of
 * them. Each policy lets one of two tenants into the location and keeps the other out, so what the caches see tells by
 * which policy it was sent: the requests of the two must come in whole blocks. The judge reads nothing else of the
 * directors.
 */
public final class AccordProof {

    private static final long LEASE_MS = 1500;
    private static final long ASK_MS = 150;
    private static final long FAULT_INTERVAL_NS = 1_000_000_000;
    private static final double DRIFT = 0.01;
    private static final int PER_DIRECTOR = 60;

    private final Path root = Files.createTempDirectory("prove-accord");
    private final ObjectMapper json = new ObjectMapper();
    private final Random random;
    private final int count;
    private final int voters;
    private final List<DirectorProcess> all = new ArrayList<>();
    private final Set<Integer> down = new HashSet<>();
    private final List<Long> commitMs = new ArrayList<>();
    private int changes;
    private int settled;
    private long lastFaultNs;
    private int faults;
    private long loads;
    private CacheFleet caches;
    private Relay relay;
    /** Which tenant's request came last, and how often that was another one than before; the stand-ins' thread. */
    private int lastTenant = -1;
    private volatile int blocks;
    private volatile long came;

    private AccordProof(int count, int voters, long seed) throws Exception {
        this.count = count;
        this.voters = voters;
        this.random = new Random(seed);
    }

    /** Properties: directors, voters, changes, seed. */
    public static void main(String[] args) throws Exception {
        AccordProof proof = new AccordProof(Integer.getInteger("directors", 5), Integer.getInteger("voters", 3),
                Long.getLong("seed", 7));
        String line = proof.run(Integer.getInteger("changes", 100), 3);
        System.out.println(line);
        System.exit(line.endsWith("holds=true") ? 0 : 1);
    }

    /** A short one for the tests; the line of figures. */
    static String shortly(int changes) throws Exception {
        return new AccordProof(3, 3, 11).run(changes, 1);
    }

    private String run(int wanted, int faultsEach) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(DirectorProcess.free());
        }
        try (CacheFleet fleet = new CacheFleet(5, 40, DirectorProcess.WORK_US / 4, DirectorProcess.COLD);
                Relay links = new Relay(ports)) {
            caches = fleet;
            relay = links;
            caches.heard = this::heard;
            for (int i = 0; i < count; i++) {
                all.add(null);
                start(i);
            }
            for (int i = 0; i < count; i++) {
                all.get(i).ready();
                serve(i);
            }
            change(false); // also waits until the voters have found each other
            Thread.sleep(2 * LEASE_MS);
            blocks = 0; // before the first policy both were let in
            while (changes < wanted) {
                for (int i = 0; i < faultsEach; i++) {
                    fault();
                }
                change(true);
            }
            calm();
            change(false);
            Thread.sleep(2 * LEASE_MS);
            return line(agreed());
        } finally {
            DirectorProcess.end(all, root);
        }
    }

    private void heard(String fields) {
        if (!fields.contains("kind=page")) {
            return;
        }
        long object = Long.parseLong(LinePeer.field(fields, "obj").substring(4), 16);
        int tenant = object % 256 < 128 ? 0 : 1;
        came++;
        blocks += tenant == lastTenant ? 0 : 1;
        lastTenant = tenant;
    }

    /** Lets one tenant into the location and keeps the other at the hubs. */
    private String policy(int in) {
        return "{\"tenants\":[{\"tenant\":\"t0\",\"class\":\"page\",\"groups\":[0,127]},{\"tenant\":\"t1\","
                + "\"class\":\"page\",\"groups\":[128,255]}],\"placement\":[" + rule(0, in) + "," + rule(1, in) + "]}";
    }

    private static String rule(int tenant, int in) {
        return "{\"tenant\":\"t" + tenant + "\",\"sites\":[\"north\"" + (tenant == in ? ",\"edge\"" : "")
                + "],\"archive\":true,\"protected\":true}";
    }

    private JsonNode shown(int i) throws Exception {
        String answer = down.contains(i) ? "" : all.get(i).say("GET /policy HTTP/1.1\r\n\r\n");
        return answer.startsWith("HTTP/1.1 200") ? json.readTree(answer.substring(answer.indexOf("\r\n\r\n") + 4))
                : null;
    }

    /** An operator at some director wants the other tenant in, and waits until that is so, or until it is not to be. */
    private void change(boolean amongFaults) throws Exception {
        long untilNs = System.nanoTime() + 60_000_000_000L;
        changes++;
        while (System.nanoTime() < untilNs) {
            faultIfDue(amongFaults);
            int at = random.nextInt(count);
            JsonNode now = shown(at);
            if (now == null || now.has("next")) {
                Thread.sleep(50);
                continue;
            }
            String body = "{\"follows\":" + now.get("version") + ",\"policy\":" + policy(changes % 2) + "}";
            long fromNs = System.nanoTime();
            String answer = all.get(at).say("PUT /policy HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body);
            if (answer.startsWith("HTTP/1.1 202")) {
                long version = json.readTree(answer.substring(answer.indexOf("\r\n\r\n") + 4)).get("version").asLong();
                for (int looks = 0; looks < 1000; looks++) {
                    JsonNode then = shown(at);
                    if (then != null && !then.has("next") && then.get("version").asLong() >= version) {
                        settled++;
                        commitMs.add((System.nanoTime() - fromNs) / 1_000_000);
                        return;
                    }
                    faultIfDue(amongFaults);
                    Thread.sleep(10);
                }
            }
        }
    }

    /**
     * A change among faults has a further one each second, whatever it waits for: the fault before may have left no
     * majority, and only a further one ends it (docs/incidents/accord-proof-without-majority.md).
     */
    private void faultIfDue(boolean amongFaults) throws Exception {
        if (amongFaults && System.nanoTime() - lastFaultNs > FAULT_INTERVAL_NS) {
            fault();
        }
    }

    private void fault() throws Exception {
        faults++;
        lastFaultNs = System.nanoTime();
        int which = random.nextInt(count);
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                if (down.size() < (voters - 1) / 2 && down.add(which)) {
                    all.get(which).process.destroyForcibly().waitFor();
                } else {
                    back();
                }
            }
            case 2 -> {
                signal("STOP", which);
                Thread.sleep(random.nextInt((int) (2 * LEASE_MS)));
                signal("CONT", which);
            }
            case 3 -> relay.faults(0.4, 200, 0, random.nextBoolean());
            case 4 -> relay.faults(0, 0, 1 + random.nextInt(count - 1), false);
            case 5 -> relay.mute(which);
            default -> heal();
        }
    }

    private void heal() {
        relay.faults(0, 0, 0, false);
        relay.mute(-1);
    }

    private void calm() throws Exception {
        heal();
        back();
    }

    private void back() throws Exception {
        for (int i : List.copyOf(down)) {
            start(i);
            all.get(i).ready();
            down.remove(i);
            serve(i);
        }
    }

    private void signal(String name, int which) throws Exception {
        if (!down.contains(which)) {
            new ProcessBuilder("kill", "-" + name, "" + all.get(which).process.pid()).start().waitFor();
        }
    }

    private boolean agreed() throws Exception {
        JsonNode first = shown(0);
        for (int i = 0; i < count; i++) {
            JsonNode each = shown(i);
            if (each == null || first == null || each.has("next") || !each.get("version").equals(first.get("version"))
                    || each.get("lease_ms").asLong() == 0) {
                return false;
            }
        }
        return true;
    }

    private String line(boolean agreed) {
        Collections.sort(commitMs);
        // A block more than there were changes is a request by old after one by new.
        int mixed = Math.max(0, blocks - changes);
        long bound = (long) (LEASE_MS * (1 + DRIFT) / (1 - DRIFT)) + 2000;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("directors", count);
        figures.put("voters", voters);
        figures.put("changes", changes);
        figures.put("settled", settled);
        figures.put("faults", faults);
        figures.put("requests_seen", came);
        figures.put("blocks", blocks);
        figures.put("mixed", mixed);
        figures.put("half", agreed ? 0 : 1);
        figures.put("commit_ms_p50", commitMs.isEmpty() ? -1 : commitMs.get(commitMs.size() / 2));
        figures.put("commit_ms_max", commitMs.isEmpty() ? -1 : commitMs.get(commitMs.size() - 1));
        figures.put("one_lease_and_2s_ms", bound);
        boolean holds = mixed == 0 && agreed && settled > changes / 2 && blocks > settled / 2 && came > 100;
        StringBuilder line = new StringBuilder("prove-accord:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" holds=").append(holds).toString();
    }

    private void serve(int i) throws Exception {
        all.get(i).load = new Load(all.get(i).port, PER_DIRECTOR, 7 + loads++, 100, 1);
    }

    private void start(int self) throws Exception {
        Path key = root.resolve("key");
        Files.writeString(key, "00112233445566778899aabbccddeeff");
        Path settings = root.resolve("settings-" + self + ".json");
        Files.writeString(settings, json.writeValueAsString(Map.of("accord", Map.of("directors", relay.addresses(self),
                "self", self, "voters", java.util.stream.IntStream.range(0, voters).boxed().toList(), "key_file",
                key.toString(), "folder", root.resolve("votes-" + self).toString(), "lease_ms", LEASE_MS, "ask_ms",
                ASK_MS,
                "drift", DRIFT))));
        all.set(self, DirectorProcess.start(root, caches, self, count, settings));
    }
}
