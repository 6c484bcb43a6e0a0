package clovermill.ledger.decide;

import clovermill.dataplane.proxy.UsageRecord;

/** An entry of the log, ordered by {@code seq}, which counts from 1 in each epoch without gaps. */
public sealed interface Entry {

    /** Returns the sequence number within the epoch, from 1. */
    long seq();

    /**
     * One request. {@code takenMs} is the ledger time at which it was received; {@code wallMs} and {@code monoUs} are
     * the readings of both clocks at its end. {@code tryKey} is the same for all client attempts of one request.
     * {@code written} bytes of the body were sent to the client.
     */
    record Used(long seq, long takenMs, long wallMs, long monoUs, long request, long tryKey, String tenant,
            int requestClass, UsageRecord.End end, ContentSource how, int attempts, boolean repeat, int written,
            int fromParent, int fromOrigin) implements Entry {}

    /**
     * Requests of one tenant that were not recorded individually, received from {@code firstMs} to {@code lastMs}.
     */
    record Gap(long seq, long firstMs, long lastMs, String tenant, long count, long written, long fromParent,
            long fromOrigin) implements Entry {}

    /**
     * The period closing with this {@code number}, at {@code atMs}: all periods that end by {@code throughMs} are
     * closed.
     */
    record Close(long seq, long throughMs, long number, long atMs) implements Entry {}

    /** A step of the system clock by {@code stepMs} that was observed, or that was adopted if {@code taken}. */
    record ClockStep(long seq, long wallMs, long lineMs, long stepMs, boolean taken) implements Entry {}
}
