package clovermill.ledger.export;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import clovermill.ledger.totals.TotalsStore;
import clovermill.storage.CrashPoint;
import clovermill.storage.Volume;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Delivers closed batches that are not yet acknowledged, in order. A batch has the same name and the same bytes in
 * each attempt: an existing file is replaced, and a receiver that has the batch reports so. A batch counts as
 * delivered when its acknowledgement is on the local disk.
 */
public final class Exporter {

    /** The result: the numbers of the delivered batches, how many remain, and the reason for the first of these. */
    public record Result(List<Long> delivered, int left, String reason) {}

    private final LedgerFolder folder;
    private final LedgerSettings.Export options;
    private final Volume volume;
    private final RandomGenerator random;
    private final HttpClient client;

    /** Creates an exporter; {@code random} spreads the delays between attempts. */
    public Exporter(LedgerFolder folder, LedgerSettings.Export options, Volume volume, RandomGenerator random) {
        this.folder = folder;
        this.options = options;
        this.volume = volume;
        this.random = random;
        this.client = options.receiver() == null ? null : HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(options.timeoutMs())).build();
    }

    /** Updates the totals store and delivers; the store is locked meanwhile. */
    public Result run() throws IOException, InterruptedException {
        List<Long> delivered = new ArrayList<>();
        try (TotalsStore store = TotalsStore.open(folder)) {
            store.update(read -> {});
            LedgerFolder.Identity identity = folder.identity();
            List<TotalsStore.BatchInfo> pending =
                    store.batches().values().stream().filter(each -> each.acknowledged() == null)
                            .toList();
            for (TotalsStore.BatchInfo batch : pending) {
                byte[] bytes = BatchText.of(identity, store.batch(batch.number()), form());
                String reason = deliver(identity, batch, bytes);
                if (reason != null) {
                    return new Result(delivered, pending.size() - delivered.size(), reason);
                }
                CrashPoint.reached("export.before-commit");
                store.acknowledge(batch.number(), digest(bytes));
                CrashPoint.reached("export.after-commit");
                delivered.add(batch.number());
            }
        }
        return new Result(delivered, 0, null);
    }

    private BatchText.Form form() {
        return BatchText.Form.valueOf(options.format().toUpperCase(Locale.ROOT));
    }

    /** Delivers a batch; returns null on success, else the reason of the failure. */
    private String deliver(LedgerFolder.Identity identity, TotalsStore.BatchInfo batch, byte[] bytes)
            throws IOException,
            InterruptedException {
        if (options.folder() != null) {
            Path target = Path.of(options.folder());
            Files.createDirectories(target);
            CrashPoint.reached("export.before-write");
            volume.replace(target.resolve(identity.instance() + "-e" + batch.epoch() + "-b" + batch.number() + "."
                    + form().extension()), bytes);
            CrashPoint.reached("export.after-rename");
        }
        return options.receiver() == null ? null : put(identity, batch, bytes);
    }

    private String put(LedgerFolder.Identity identity, TotalsStore.BatchInfo batch, byte[] bytes)
            throws InterruptedException {
        URI uri = URI.create(options.receiver().replaceAll("/+$", "") + "/"
                + URLEncoder.encode(identity.instance(), StandardCharsets.UTF_8) + "/"
                + batch.epoch() + "/" + batch.number());
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(options.timeoutMs()))
                .header("Content-Type", form() == BatchText.Form.CSV ? "text/csv; charset=utf-8"
                        : "application/jsonl; charset=utf-8")
                // RFC 9530; the receiver verifies it and stores it to recognize the batch.
                .header("Content-Digest", "sha-256=:" + digest(bytes) + ":")
                .PUT(HttpRequest.BodyPublishers.ofByteArray(bytes)).build();
        RetryPolicy retryPolicy = new RetryPolicy(options.attempts(), random);
        while (true) {
            int status = 0;
            long retryAfterMs = 0;
            String outcome;
            try {
                CrashPoint.reached("export.before-send");
                HttpResponse<Void> response = client.send(request, HttpResponse.BodyHandlers.discarding());
                CrashPoint.reached("export.acknowledged");
                status = response.statusCode();
                retryAfterMs = retryAfterMs(response);
                outcome = "status " + status;
            } catch (IOException failure) {
                outcome = "no response: " + failure;
            }
            switch (RetryPolicy.verdict(status)) {
                case STORED -> {
                    return null;
                }
                case CONFLICT -> {
                    return "the receiver holds another batch " + batch.number() + " of " + identity.instance()
                            + ", epoch " + batch.epoch() + "; is that name used by two instances?";
                }
                case REJECTED -> {
                    return "the receiver rejects batch " + batch.number() + ": " + outcome;
                }
                default -> {
                    long delayMs = retryPolicy.nextDelayMs(retryAfterMs);
                    if (delayMs < 0) {
                        return "the receiver has not acknowledged batch " + batch.number() + ": " + outcome;
                    }
                    Thread.sleep(delayMs);
                }
            }
        }
    }

    private static long retryAfterMs(HttpResponse<?> response) {
        try {
            return response.headers().firstValue("Retry-After").map(Long::parseLong).orElse(0L) * 1000;
        } catch (NumberFormatException notSeconds) {
            return 0;
        }
    }

    private static String digest(byte[] bytes) {
        try {
            return Base64.getEncoder().encodeToString(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException missingAlgorithm) {
            throw new IllegalStateException(missingAlgorithm);
        }
    }
}
