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
 * Long proof of the policy store with processes ({@code make prove-accord}): directors with clients, fake caches, and
 * links that lose, delay and cut in each direction; directors are killed and stopped while operators change the policy
 * at any of them. Each policy admits one of two tenants to the location and excludes the other, so the tenant of a
 * request shows which policy it was sent under: the requests of the two must arrive in contiguous blocks. The check
 * uses nothing else from the directors.
 */
public final class AccordProof {

    private static final long LEASE_MS = 1500;
    private static final long ASK_MS = 150;
    private static final long FAULT_INTERVAL_NS = 1_000_000_000;
    private static final double DRIFT = 0.01;
    private static final int REQUESTS_PER_SECOND = 60;

    private final Path root = Files.createTempDirectory("prove-accord");
    private final ObjectMapper json = new ObjectMapper();
    private final Random random;
    private final int count;
    private final int voters;
    private final List<DirectorProcess> all = new ArrayList<>();
    private final Set<Integer> killed = new HashSet<>();
    private final List<Long> commitMs = new ArrayList<>();
    private int changes;
    private int committed;
    private long lastFaultNs;
    private int faults;
    private long loadCount;
    private CacheFleet caches;
    private Relay relay;
    /** Tenant of the last request; used on the fake caches' thread. */
    private int lastTenant = -1;
    /** Number of contiguous blocks of requests by the same tenant. */
    private volatile int blocks;
    private volatile long requestsSeen;

    private AccordProof(int count, int voters, long seed) throws Exception {
        this.count = count;
        this.voters = voters;
        this.random = new Random(seed);
    }

    /** System properties: directors, voters, changes, seed. */
    public static void main(String[] args) throws Exception {
        AccordProof proof = new AccordProof(Integer.getInteger("directors", 5), Integer.getInteger("voters", 3),
                Long.getLong("seed", 7));
        String line = proof.run(Integer.getInteger("changes", 100), 3);
        System.out.println(line);
        System.exit(line.endsWith("holds=true") ? 0 : 1);
    }

    /** Runs a short form for the tests; returns the result line. */
    static String runShort(int changes) throws Exception {
        return new AccordProof(3, 3, 11).run(changes, 1);
    }

    private String run(int targetChanges, int faultsPerChange) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(DirectorProcess.freePort());
        }
        try (CacheFleet fleet = new CacheFleet(5, 40, DirectorProcess.TRANSFER_US / 4, DirectorProcess.SLOW_START);
                Relay links = new Relay(ports)) {
            caches = fleet;
            relay = links;
            caches.requestListener = this::requestReceived;
            for (int i = 0; i < count; i++) {
                all.add(null);
                start(i);
            }
            for (int i = 0; i < count; i++) {
                all.get(i).awaitReady();
                startLoad(i);
            }
            changePolicy(false); // also waits until the voters have found each other
            Thread.sleep(2 * LEASE_MS);
            blocks = 0; // before the first policy both tenants were admitted
            while (changes < targetChanges) {
                for (int i = 0; i < faultsPerChange; i++) {
                    injectFault();
                }
                changePolicy(true);
            }
            recoverAll();
            changePolicy(false);
            Thread.sleep(2 * LEASE_MS);
            return line(isAgreed());
        } finally {
            DirectorProcess.stopAll(all, root);
        }
    }

    private void requestReceived(String fields) {
        if (!fields.contains("kind=page")) {
            return;
        }
        long object = Long.parseLong(LineProtocolPeer.field(fields, "obj").substring(4), 16);
        int tenant = object % 256 < 128 ? 0 : 1;
        requestsSeen++;
        blocks += tenant == lastTenant ? 0 : 1;
        lastTenant = tenant;
    }

    /** Returns a policy that admits one tenant to the location and restricts the other to the hubs. */
    private String policy(int admitted) {
        return "{\"tenants\":[{\"tenant\":\"t0\",\"class\":\"page\",\"groups\":[0,127]},{\"tenant\":\"t1\","
                + "\"class\":\"page\",\"groups\":[128,255]}],\"placement\":[" + rule(0, admitted) + ","
                + rule(1, admitted) + "]}";
    }

    private static String rule(int tenant, int admitted) {
        return "{\"tenant\":\"t" + tenant + "\",\"sites\":[\"north\"" + (tenant == admitted ? ",\"edge\"" : "")
                + "],\"archive\":true,\"protected\":true}";
    }

    private JsonNode readPolicy(int i) throws Exception {
        String answer = killed.contains(i) ? "" : all.get(i).callAdmin("GET /policy HTTP/1.1\r\n\r\n");
        return answer.startsWith("HTTP/1.1 200") ? json.readTree(answer.substring(answer.indexOf("\r\n\r\n") + 4))
                : null;
    }

    /** Changes the policy to the other tenant at a random director and waits for the commit, with retries, for 60 s. */
    private void changePolicy(boolean withFaults) throws Exception {
        long deadlineNs = System.nanoTime() + 60_000_000_000L;
        changes++;
        while (System.nanoTime() < deadlineNs) {
            injectFaultIfDue(withFaults);
            int at = random.nextInt(count);
            JsonNode current = readPolicy(at);
            if (current == null || current.has("next")) {
                Thread.sleep(50);
                continue;
            }
            String body = "{\"follows\":" + current.get("version") + ",\"policy\":" + policy(changes % 2) + "}";
            long fromNs = System.nanoTime();
            String answer =
                    all.get(at).callAdmin("PUT /policy HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body);
            if (answer.startsWith("HTTP/1.1 202")) {
                long version = json.readTree(answer.substring(answer.indexOf("\r\n\r\n") + 4)).get("version").asLong();
                for (int polls = 0; polls < 1000; polls++) {
                    JsonNode latest = readPolicy(at);
                    if (latest != null && !latest.has("next") && latest.get("version").asLong() >= version) {
                        committed++;
                        commitMs.add((System.nanoTime() - fromNs) / 1_000_000);
                        return;
                    }
                    injectFaultIfDue(withFaults);
                    Thread.sleep(10);
                }
            }
        }
    }

    /**
     * Injects a further fault each second while a change with faults waits: the previous fault may have left no
     * majority, and only a further one ends that (docs/incidents/accord-proof-without-majority.md).
     */
    private void injectFaultIfDue(boolean withFaults) throws Exception {
        if (withFaults && System.nanoTime() - lastFaultNs > FAULT_INTERVAL_NS) {
            injectFault();
        }
    }

    private void injectFault() throws Exception {
        faults++;
        lastFaultNs = System.nanoTime();
        int which = random.nextInt(count);
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                if (killed.size() < (voters - 1) / 2 && killed.add(which)) {
                    all.get(which).process.destroyForcibly().waitFor();
                } else {
                    restartKilled();
                }
            }
            case 2 -> {
                signal("STOP", which);
                Thread.sleep(random.nextInt((int) (2 * LEASE_MS)));
                signal("CONT", which);
            }
            case 3 -> relay.setFaults(0.4, 200, 0, random.nextBoolean());
            case 4 -> relay.setFaults(0, 0, 1 + random.nextInt(count - 1), false);
            case 5 -> relay.mute(which);
            default -> clearLinkFaults();
        }
    }

    private void clearLinkFaults() {
        relay.setFaults(0, 0, 0, false);
        relay.mute(-1);
    }

    private void recoverAll() throws Exception {
        clearLinkFaults();
        restartKilled();
    }

    private void restartKilled() throws Exception {
        for (int i : List.copyOf(killed)) {
            start(i);
            all.get(i).awaitReady();
            killed.remove(i);
            startLoad(i);
        }
    }

    private void signal(String name, int which) throws Exception {
        if (!killed.contains(which)) {
            new ProcessBuilder("kill", "-" + name, "" + all.get(which).process.pid()).start().waitFor();
        }
    }

    private boolean isAgreed() throws Exception {
        JsonNode first = readPolicy(0);
        for (int i = 0; i < count; i++) {
            JsonNode each = readPolicy(i);
            if (each == null || first == null || each.has("next") || !each.get("version").equals(first.get("version"))
                    || each.get("lease_ms").asLong() == 0) {
                return false;
            }
        }
        return true;
    }

    private String line(boolean agreed) {
        Collections.sort(commitMs);
        // More blocks than changes: a request under the old policy arrived after one under the new policy.
        int mixed = Math.max(0, blocks - changes);
        long bound = (long) (LEASE_MS * (1 + DRIFT) / (1 - DRIFT)) + 2000;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("directors", count);
        figures.put("voters", voters);
        figures.put("changes", changes);
        figures.put("settled", committed);
        figures.put("faults", faults);
        figures.put("requests_seen", requestsSeen);
        figures.put("blocks", blocks);
        figures.put("mixed", mixed);
        figures.put("half", agreed ? 0 : 1);
        figures.put("commit_ms_p50", commitMs.isEmpty() ? -1 : commitMs.get(commitMs.size() / 2));
        figures.put("commit_ms_max", commitMs.isEmpty() ? -1 : commitMs.get(commitMs.size() - 1));
        figures.put("one_lease_and_2s_ms", bound);
        boolean holds = mixed == 0 && agreed && committed > changes / 2 && blocks > committed / 2 && requestsSeen > 100;
        StringBuilder line = new StringBuilder("prove-accord:");
        figures.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        return line.append(" holds=").append(holds).toString();
    }

    private void startLoad(int i) throws Exception {
        all.get(i).load = new LoadGenerator(all.get(i).port, REQUESTS_PER_SECOND, 7 + loadCount++, 100, 1);
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
