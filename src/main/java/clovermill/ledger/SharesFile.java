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

/** Parts of allowances, as reconciliation hands them out: {@code {"TENANT":{"INSTANCE":0.4}}}. */
public final class SharesFile {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private SharesFile() {}

    /** This instance's part of each tenant's allowance; a tenant whose entry lacks the instance gets none. */
    public static Map<String, Double> read(Path file, String instance) throws IOException {
        JsonNode root;
        try {
            root = JSON.readTree(file.toFile());
        } catch (IOException bad) {
            throw new IOException(file + ": " + bad.getMessage().lines().findFirst().orElse("cannot be read"));
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

    /** Puts a file in place, whole. */
    public static void write(Volume volume, Path file, TreeMap<String, Map<String, Double>> shares) throws IOException {
        volume.replace(file, JSON.writeValueAsBytes(shares));
    }
}
