package clovermill.ledger.decide;

import clovermill.dataplane.proxy.UsageRecord;

/** What the log holds, in the order of {@code seq}, which counts from 1 in each epoch without a hole. */
public sealed interface Entry {

    /** The sequence number within the epoch, from 1. */
    long seq();

    /**
     * One request. {@code takenMs} is when it was taken on the ledger's line of time, {@code wallMs} and {@code
     * monoUs} what both clocks showed when it ended. {@code tryKey} is the same for all tries of one request.
     * {@code written} bytes of the body went to the client.
     */
    record Used(long seq, long takenMs, long wallMs, long monoUs, long request, long tryKey, String tenant,
            int requestClass, UsageRecord.End end, How how, int attempts, boolean repeat, int written, int fromParent,
            int fromOrigin) implements Entry {}

    /** Requests of one tenant that could not be written down, taken from {@code firstMs} to {@code lastMs}. */
    record Gap(long seq, long firstMs, long lastMs, String tenant, long count, long written, long fromParent,
            long fromOrigin) implements Entry {}

    /** All periods that end by {@code throughMs} are closed, at {@code atMs}; the {@code number}th closing. */
    record Close(long seq, long throughMs, long number, long atMs) implements Entry {}

    /** The system's clock was seen to step by {@code stepMs}, or that step was taken over. */
    record ClockStep(long seq, long wallMs, long lineMs, long stepMs, boolean taken) implements Entry {}
}
