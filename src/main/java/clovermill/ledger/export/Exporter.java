package clovermill.ledger.export;

import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import clovermill.ledger.books.TotalsStore;
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
 * Delivers what is closed and not yet acknowledged, batch by batch in their order. A batch has the same name and
 * the same bytes at each try: a file that stands already is put in place once more, and a receiver that has the
 * batch says so. It counts as delivered when its acknowledgement is on this disk.
 */
public final class Exporter {

    /** What came of it: how many batches were delivered, how many remain, and why the first of these does. */
    public record Result(List<Long> delivered, int left, String reason) {}

    private final LedgerFolder folder;
    private final LedgerSettings.Export terms;
    private final Volume volume;
    private final RandomGenerator random;
    private final HttpClient client;

    /** {@code random} spreads the pauses between attempts at a receiver. */
    public Exporter(LedgerFolder folder, LedgerSettings.Export terms, Volume volume, RandomGenerator random) {
        this.folder = folder;
        this.terms = terms;
        this.volume = volume;
        this.random = random;
        this.client = terms.receiver() == null ? null : HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(terms.timeoutMs())).build();
    }

    /** Brings the books up to date and delivers; the books are locked meanwhile. */
    public Result run() throws IOException, InterruptedException {
        List<Long> delivered = new ArrayList<>();
        try (TotalsStore books = TotalsStore.open(folder)) {
            books.update(read -> {});
            LedgerFolder.Identity identity = folder.identity();
            List<TotalsStore.BatchInfo> due =
                    books.batches().values().stream().filter(each -> each.acknowledged() == null)
                            .toList();
            for (TotalsStore.BatchInfo batch : due) {
                byte[] bytes = BatchText.of(identity, books.batch(batch.number()), form());
                String reason = deliver(identity, batch, bytes);
                if (reason != null) {
                    return new Result(delivered, due.size() - delivered.size(), reason);
                }
                CrashPoint.reached("export.before-commit");
                books.acknowledge(batch.number(), digest(bytes));
                CrashPoint.reached("export.after-commit");
                delivered.add(batch.number());
            }
        }
        return new Result(delivered, 0, null);
    }

    private BatchText.Form form() {
        return BatchText.Form.valueOf(terms.format().toUpperCase(Locale.ROOT));
    }

    /** Returns null when the batch is where it belongs, else why it is not. */
    private String deliver(LedgerFolder.Identity identity, TotalsStore.BatchInfo batch, byte[] bytes)
            throws IOException,
            InterruptedException {
        if (terms.folder() != null) {
            Path target = Path.of(terms.folder());
            Files.createDirectories(target);
            CrashPoint.reached("export.before-write");
            volume.replace(target.resolve(identity.instance() + "-e" + batch.epoch() + "-b" + batch.number() + "."
                    + form().ending()), bytes);
            CrashPoint.reached("export.after-rename");
        }
        return terms.receiver() == null ? null : put(identity, batch, bytes);
    }

    private String put(LedgerFolder.Identity identity, TotalsStore.BatchInfo batch, byte[] bytes)
            throws InterruptedException {
        URI uri = URI.create(terms.receiver().replaceAll("/+$", "") + "/"
                + URLEncoder.encode(identity.instance(), StandardCharsets.UTF_8) + "/"
                + batch.epoch() + "/" + batch.number());
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(terms.timeoutMs()))
                .header("Content-Type", form() == BatchText.Form.CSV ? "text/csv; charset=utf-8"
                        : "application/jsonl; charset=utf-8")
                // RFC 9530; the receiver checks it, and keeps it to know the batch again.
                .header("Content-Digest", "sha-256=:" + digest(bytes) + ":")
                .PUT(HttpRequest.BodyPublishers.ofByteArray(bytes)).build();
        Delivery delivery = new Delivery(terms.attempts(), random);
        while (true) {
            int status = 0;
            long askedMs = 0;
            String told;
            try {
                CrashPoint.reached("export.before-send");
                HttpResponse<Void> response = client.send(request, HttpResponse.BodyHandlers.discarding());
                CrashPoint.reached("export.acknowledged");
                status = response.statusCode();
                askedMs = retryAfterMs(response);
                told = "it answered " + status;
            } catch (IOException failure) {
                told = "no answer: " + failure;
            }
            switch (Delivery.verdict(status)) {
                case STORED -> {
                    return null;
                }
                case CONFLICT -> {
                    return "the receiver holds another batch " + batch.number() + " of " + identity.instance()
                            + ", epoch " + batch.epoch() + "; is that name used by two instances?";
                }
                case REFUSED -> {
                    return "the receiver does not take batch " + batch.number() + ": " + told;
                }
                default -> {
                    long waitMs = delivery.againAfterMs(askedMs);
                    if (waitMs < 0) {
                        return "the receiver has not acknowledged batch " + batch.number() + ": " + told;
                    }
                    Thread.sleep(waitMs);
                }
            }
        }
    }

    private static long retryAfterMs(HttpResponse<?> response) {
        try {
            return response.headers().firstValue("Retry-After").map(Long::parseLong).orElse(0L) * 1000;
        } catch (NumberFormatException date) {
            return 0;
        }
    }

    private static String digest(byte[] bytes) {
        try {
            return Base64.getEncoder().encodeToString(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
