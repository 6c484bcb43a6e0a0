package clovermill.director.operations;

import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.DiscoverySettings;
import clovermill.controlplane.discovery.DiscoverySnapshot;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.OptionalLong;

/**
 * Hands what a process knows from discovery to its successor, which may not reach discovery itself. The process in
 * service writes a file {@code list-PID} for the successor with that pid, again whenever discovery has answered. Ages
 * pass between the processes, not times: their monotonic clocks differ, and the wall clock may be stepped.
 */
final class EndpointListHandover {

    private static final System.Logger LOG = System.getLogger(EndpointListHandover.class.getName());
    private static final String FILE_PREFIX = "list-";
    private static final long RETRY_INTERVAL_US = 500_000;

    private final Path folder;
    private final long ownPid;
    private final Clock clock;
    private final EndpointRegistry registry;
    private final DiscoveryClient discovery;
    private final DiscoverySettings settings;
    private OptionalLong publishedFor = OptionalLong.empty();
    private long publishedConfirmedUs;
    private long retryAtUs;
    private String adoptedText = "";
    private long checkedUs;

    /** Deletes what was written for an earlier process with the pid of this one. */
    EndpointListHandover(Path folder, long ownPid, Clock clock, EndpointRegistry registry, DiscoveryClient discovery,
            DiscoverySettings settings) {
        this.folder = folder;
        this.ownPid = ownPid;
        this.clock = clock;
        this.registry = registry;
        this.discovery = discovery;
        this.settings = settings;
        this.checkedUs = clock.micros();
        delete(ownPid);
    }

    /** Writes the file of {@code successor}, if any and not up to date. To be called repeatedly. */
    void publish(OptionalLong successor) {
        boolean upToDate = successor.equals(publishedFor) && discovery.confirmedUs() == publishedConfirmedUs;
        if (successor.isEmpty() || upToDate || clock.micros() < retryAtUs) {
            return;
        }
        try {
            write(successor.getAsLong());
            publishedFor = successor;
            publishedConfirmedUs = discovery.confirmedUs();
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "cannot hand the endpoint list to the next process: {0}", failure.toString());
            retryAtUs = clock.micros() + RETRY_INTERVAL_US;
        }
    }

    private void write(long pid) throws IOException {
        DiscoverySnapshot snapshot = registry.snapshot(discovery.cursor(), discovery.confirmedUs());
        Path temporary = folder.resolve("new-" + FILE_PREFIX + pid);
        Files.writeString(temporary, snapshot.toJson(settings));
        Files.move(temporary, file(pid), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Adopts what the process in service has written since the last call, if anything. To be called repeatedly. */
    void adopt() {
        if (clock.micros() < retryAtUs) {
            return;
        }
        long previousCheckUs = checkedUs;
        checkedUs = clock.micros();
        Path file = file(ownPid);
        if (Files.notExists(file)) {
            return;
        }
        try {
            String text = Files.readString(file);
            if (!text.equals(adoptedText)) {
                adoptedText = text;
                adopt(DiscoverySnapshot.fromJson(text, settings), previousCheckUs);
            }
        } catch (IOException | Json.Malformed unusable) {
            LOG.log(Level.WARNING, "the endpoint list of the process in service cannot be used: {0}",
                    unusable.toString());
            retryAtUs = clock.micros() + RETRY_INTERVAL_US;
        }
    }

    /** Adopts a snapshot that was taken at {@code takenUs} or later. */
    private void adopt(DiscoverySnapshot snapshot, long takenUs) {
        if (snapshot.cursor() < discovery.cursor()) {
            return;
        }
        if (snapshot.cursor() > discovery.cursor()) {
            registry.adopt(snapshot);
        }
        discovery.adopt(snapshot.cursor(), takenUs - snapshot.confirmedAgoUs());
    }

    /** Deletes the file of this process, which is about to exit; that of its successor stays for it to read. */
    void close() {
        delete(ownPid);
    }

    private void delete(long pid) {
        try {
            Files.deleteIfExists(file(pid));
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "an endpoint list could not be deleted: {0}", failure.toString());
        }
    }

    private Path file(long pid) {
        return folder.resolve(FILE_PREFIX + pid);
    }
}
