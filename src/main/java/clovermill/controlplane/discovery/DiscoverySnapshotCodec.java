package clovermill.controlplane.discovery;

import clovermill.config.Json;
import clovermill.routing.api.Availability;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Writes and reads snapshots as JSON: an answer of the command channel with one full list and the purges after it, and
 * beside it what an answer does not tell, the age of the whole and of each purge.
 */
final class DiscoverySnapshotCodec {

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final String CONFIRMED_AGO = "confirmed_us_ago";
    private static final String PURGE_AGES = "purge_ages_us";

    private final DiscoverySettings settings;

    DiscoverySnapshotCodec(DiscoverySettings settings) {
        this.settings = settings;
    }

    String write(DiscoverySnapshot snapshot) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("cursor", snapshot.cursor());
            json.writeNumberField(CONFIRMED_AGO, snapshot.confirmedAgoUs());
            json.writeArrayFieldStart("cmds");
            writeList(snapshot, json);
            for (AgedPurge each : snapshot.purges()) {
                writePurge(each.purge(), snapshot.cursor(), json);
            }
            json.writeEndArray();
            json.writeArrayFieldStart(PURGE_AGES);
            for (AgedPurge each : snapshot.purges()) {
                json.writeNumber(each.ageUs());
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // the generator writes to memory
        }
        return text.toString();
    }

    private void writeList(DiscoverySnapshot snapshot, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("cursor", snapshot.cursor());
        json.writeObjectFieldStart("nodes");
        json.writeBooleanField("full", true);
        json.writeArrayFieldStart("servers");
        for (ListedEndpoint endpoint : snapshot.endpoints()) {
            writeEndpoint(endpoint, json);
        }
        json.writeEndArray();
        json.writeEndObject();
        json.writeEndObject();
    }

    private void writeEndpoint(ListedEndpoint endpoint, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("id", endpoint.id());
        json.writeStringField("addr", endpoint.address().getHostString() + ":" + endpoint.address().getPort());
        json.writeStringField("zone", settings.zones().get(endpoint.member().zone()));
        json.writeStringField("kind", settings.kinds().get(endpoint.member().kind()));
        json.writeNumberField("cell", endpoint.member().cell());
        json.writeStringField("state", stateName(endpoint.member().availability()));
        json.writeNumberField("weight", endpoint.member().weight());
        json.writeNumberField("started_ms", endpoint.startedUnixMs());
        json.writeEndObject();
    }

    private static String stateName(Availability availability) {
        return switch (availability) {
            case HEALTHY -> "ready";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    private static void writePurge(CopiesPurged purge, long cursor, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("cursor", cursor);
        json.writeObjectFieldStart("drop");
        if (purge.object() != null) {
            json.writeStringField("id", Long.toHexString(purge.object()));
        } else {
            json.writeNumberField("family", purge.group());
        }
        json.writeNumberField("when", purge.timestampUnixMs());
        json.writeEndObject();
        json.writeEndObject();
    }

    DiscoverySnapshot read(String text) throws Json.Malformed {
        Map<?, ?> root = Json.object(Json.parse(text));
        DiscoveryEvents events = DiscoveryEventParser.parse(root, settings.zones(), settings.kinds());
        List<?> ages = Json.list(root, PURGE_AGES);
        if (events.events().size() != 1 + ages.size()
                || !(events.events().get(0) instanceof EndpointListChanged list) || !list.full()) {
            throw new Json.Malformed("cmds: one full list, and a purge for each age, were expected");
        }
        List<AgedPurge> purges = new ArrayList<>();
        for (int i = 0; i < ages.size(); i++) {
            purges.add(purge(events.events().get(i + 1), ages.get(i)));
        }
        return new DiscoverySnapshot(events.cursor(), (long) Json.number(root, CONFIRMED_AGO), list.endpoints(),
                purges);
    }

    private static AgedPurge purge(DiscoveryEvent event, Object age) throws Json.Malformed {
        if (event instanceof CopiesPurged purge && age instanceof Double ageUs) {
            return new AgedPurge(purge, ageUs.longValue());
        }
        throw new Json.Malformed("cmds: a purge and its age were expected");
    }
}
