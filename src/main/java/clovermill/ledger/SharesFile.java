package clovermill.ledger;

import clovermill.storage.Volume;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The file of each instance's shares of the usage limits, as reconciliation writes it: {@code
 * {"TENANT":{"INSTANCE":0.4}}}.
 */
public final class SharesFile {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private SharesFile() {}

    /**
     * Reads this instance's share of each tenant's limit; the share is 0 for a tenant whose entry lacks the instance.
     */
    public static Map<String, Double> read(Path file, String instance) throws IOException {
        JsonNode root;
        try {
            root = JSON.readTree(file.toFile());
        } catch (IOException failure) {
            throw new IOException(file + ": " + failure.getMessage().lines().findFirst().orElse("cannot be read"));
        }
        Map<String, Double> shares = new HashMap<>();
        for (Map.Entry<String, JsonNode> tenant : root.properties()) {
            double share = tenant.getValue().path(instance).asDouble(0);
            if (!(share >= 0 && share <= 1)) {
                throw new IOException(file + ": /" + tenant.getKey() + "/" + instance + ": not between 0 and 1");
            }
            shares.put(tenant.getKey(), share);
        }
        return shares;
    }

    /** Writes the file, replacing it atomically. */
    public static void write(Volume volume, Path file, TreeMap<String, Map<String, Double>> shares) throws IOException {
        volume.replace(file, JSON.writeValueAsBytes(shares));
    }
}
